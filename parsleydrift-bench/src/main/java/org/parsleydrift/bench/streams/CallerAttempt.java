package org.parsleydrift.bench.streams;

/** A request of a caller that compares its response. Used by one thread. */
final class CallerAttempt {
    /** Paths of calls that runners may run more than once. */
    static final String REPEATABLE = "/answers/";
    /** Paths of calls that run once at most. */
    static final String ONCE = "/single-answers/";
    /** Paths of calls on a route that is dropped and added. */
    static final String CHANGING = "/changing-answers/";

    private final String id;
    private final String method;
    private final String path;
    private final boolean chunked;
    private final SoakFleet.EntryNode node;
    private long sentNanos;

    CallerAttempt(String id, String method, String prefix, boolean chunked, SoakFleet.EntryNode node) {
        this.id = id;
        this.method = method;
        this.path = prefix + id;
        this.chunked = chunked;
        this.node = node;
    }

    String id() {
        return id;
    }

    String method() {
        return method;
    }

    boolean isHead() {
        return method.equals("HEAD");
    }

    String path() {
        return path;
    }

    boolean isChunked() {
        return chunked;
    }

    boolean runsOnce() {
        return path.startsWith(ONCE);
    }

    boolean isOnChangingRoute() {
        return path.startsWith(CHANGING);
    }

    RoleProcess process() {
        return node.process();
    }

    long sentNanos() {
        return sentNanos;
    }

    void setSent(long nanos) {
        sentNanos = nanos;
    }
}
