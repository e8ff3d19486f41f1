package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** When the requests of a team with a quota were sent by their callers and begun by runners. Thread-safe. */
final class QuotaRecords {
    /** Window of the quotas. */
    static final Duration WINDOW = Duration.ofSeconds(5);
    /** Requests above the quota that are tolerated in a window. */
    static final int SLACK = 20;

    /** Share of the quota that is tolerated above it as well. */
    static final double OVERAGE = 0.1;

    private final double ratePerSecond;
    private final double burst;
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final List<Run> runs = new ArrayList<>();

    /**
     * A request that a runner has begun.
     *
     * @param sentNanos when its caller sent it, ns
     * @param begunNanos when the runner began, ns
     */
    private record Run(long sentNanos, long begunNanos) {}

    /**
     * Creates empty records.
     *
     * @param ratePerSecond rate of the quota, requests per second
     * @param burst burst of the quota, requests
     */
    QuotaRecords(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
    }

    /** Records that a caller sends a request. */
    void recordSent(String request, long nanos) {
        sentNanos.put(request, nanos);
    }

    /** Records that a runner begins a request; has no effect on those of other teams. */
    void recordRun(String request, long nanos) {
        Long sent = sentNanos.get(request);
        if (sent != null) {
            synchronized (runs) {
                runs.add(new Run(sent, nanos));
            }
        }
    }

    private double limit() {
        return ratePerSecond * WINDOW.toSeconds() + burst;
    }

    /** Returns the number of requests that may run in a window. */
    double maxRequests() {
        return limit() * (1 + OVERAGE) + SLACK;
    }

    /** Returns whether the quota had room for a request that is rejected at a time. */
    boolean hadRoom(long nanos) {
        return runs().stream()
                                .filter(each -> nanos - each.begunNanos < WINDOW.toNanos())
                                .count()
                        + 1
                <= limit();
    }

    /** Returns the most requests that have begun to run in any window. */
    long mostRun() {
        return most(runs().stream().map(Run::begunNanos).toList());
    }

    /** Returns the most requests that were sent and have begun to run in the same window. */
    long mostSentAndRun() {
        List<Run> all = runs();
        return all.stream()
                .mapToLong(last -> all.stream()
                        .filter(each ->
                                isWithin(each.begunNanos, last.begunNanos) && isWithin(each.sentNanos, last.begunNanos))
                        .count())
                .max()
                .orElse(0);
    }

    /** Returns the most of some points in time, ns, that lie in the same window. */
    static long most(List<Long> times) {
        return times.stream()
                .mapToLong(last ->
                        times.stream().filter(each -> isWithin(each, last)).count())
                .max()
                .orElse(0);
    }

    /** Returns whether a time lies in the window that ends at another. */
    private static boolean isWithin(long nanos, long endNanos) {
        return nanos - endNanos <= 0 && endNanos - nanos < WINDOW.toNanos();
    }

    private List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }
}
