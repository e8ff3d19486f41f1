package org.parsleydrift.registry;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;

/**
 * Follows one kind of shared objects: a list, then watches, each resumed where the previous one ended. After a failure
 * it waits a random, growing time, so that many nodes don't come back together; when the history is gone it lists anew.
 */
public final class ObjectFollower {
    private static final Logger LOG = System.getLogger(ObjectFollower.class.getName());
    /** Pause after the first failure, ms; short, since drains must be known within about two seconds. */
    private static final long FIRST_PAUSE_MILLIS = 60;
    /** Longest pause between tries, ms: a quarter of the time in which a drain must be known. */
    private static final long LAST_PAUSE_MILLIS = 500;

    private final ObjectKind kind;
    private final SharedObjects objects;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Duration longestWait;
    private final Listener listener;
    private final VersionedTable table;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean listed;
    private boolean reached = true;
    private long run;
    private long askedNanos;
    private long completeNanos;

    /**
     * Makes a follower; {@link #start} starts it.
     *
     * @param kind the kind to follow
     * @param objects where from
     * @param loop runs it
     * @param random spreads tries
     * @param longestWait the longest wait of a watch; each waits a random time from half of it, so that of many nodes
     *     whose watches went silent at once, some ask anew soon and tell the others
     * @param table takes in what is learned
     * @param listener is told of news
     */
    public ObjectFollower(
            ObjectKind kind,
            SharedObjects objects,
            EventLoop loop,
            RandomGenerator random,
            Duration longestWait,
            VersionedTable table,
            Listener listener) {
        this.kind = kind;
        this.objects = objects;
        this.loop = loop;
        this.random = random;
        this.longestWait = longestWait;
        this.table = table;
        this.listener = listener;
        this.completeNanos = loop.clock().nanos();
    }

    /** Receives what a follower learns, on its loop. */
    public interface Listener {
        /**
         * Changes were taken in.
         *
         * @param news the changes that were news
         */
        void changed(List<SharedObject> news);

        /**
         * The platform was lost or is reached again.
         *
         * @param reached whether it answers
         */
        void reached(boolean reached);
    }

    /** Starts following. */
    public void start() {
        next(++run);
    }

    /**
     * Drops the present watch and asks anew: another node knows more, so this watch has gone silent or is turned away.
     */
    public void restart() {
        next(++run);
    }

    /**
     * How old this node's knowledge may be: the time since it asked the newest call that the platform has answered.
     *
     * @return the age; before the first answer the time since the follower was made
     */
    public Duration age() {
        return Duration.ofNanos(loop.clock().nanos() - completeNanos);
    }

    private void next(long mine) {
        if (mine != run) {
            return;
        }
        askedNanos = loop.clock().nanos();
        var asked = listed ? objects.watch(kind, table.asOf(), nextWait()) : objects.list(kind);
        boolean list = !listed;
        asked.whenComplete((changes, failure) -> loop.execute(() -> {
            if (mine != run) {
                return;
            }
            if (failure == null) {
                took(list, changes);
                next(mine);
            } else {
                failed(StoreException.of(failure), mine);
            }
        }));
    }

    private Duration nextWait() {
        long most = longestWait.toMillis();
        return Duration.ofMillis(most / 2 + random.nextLong(most / 2 + 1));
    }

    private void took(boolean list, ObjectChanges changes) {
        var news = list ? table.replace(changes) : table.apply(changes);
        listed = true;
        pauseMillis = FIRST_PAUSE_MILLIS;
        tell(true, "answered");
        completeNanos = askedNanos;
        if (list || !news.isEmpty()) {
            tellNews(news);
        }
    }

    /** Entries of other writers may hold anything; one that trips the listener must not end the following of all. */
    private void tellNews(List<SharedObject> news) {
        try {
            listener.changed(news);
        } catch (RuntimeException fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("news_not_taken_in")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", news.size())
                            .failure(fault)
                            .toString());
        }
    }

    private void failed(StoreFailure failure, long mine) {
        if (failure == StoreFailure.ABSENT) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("history_gone")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .toString());
            listed = false;
        }
        tell(false, failure.toString());
        long pause = pauseMillis / 2 + random.nextLong(pauseMillis);
        pauseMillis = Math.min(LAST_PAUSE_MILLIS, pauseMillis * 2);
        loop.schedule(Duration.ofMillis(pause), () -> next(mine));
    }

    private void tell(boolean now, String reason) {
        if (now != reached) {
            reached = now;
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(now ? "platform_regained" : "platform_lost")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("reason", reason)
                            .with("asked_ms_ago", millisSince(askedNanos))
                            .with("known_ms_ago", age().toMillis())
                            .toString());
            listener.reached(now);
        }
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(loop.clock().nanos() - nanos).toMillis();
    }
}
