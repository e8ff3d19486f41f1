package org.parsleydrift.registry;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;

/**
 * Keeps a local copy of one kind of shared objects up to date: one list, then consecutive watches, each starting at the
 * revision where the previous one ended. Failed requests are retried with exponential backoff and jitter. If the
 * platform no longer has the history after the known revision, the objects are listed again.
 *
 * <p>Peers that watch the same kind exchange the staleness of their copies. When a copy becomes stale, a node requests
 * the changes without waiting, since a watch cannot be told from a dead connection while it is pending.
 */
public final class ObjectWatcher {
    private static final Logger LOG = System.getLogger(ObjectWatcher.class.getName());
    /** Short, because drains must be known to all nodes within two seconds. */
    private static final long FIRST_PAUSE_MILLIS = 60;

    private static final long LAST_PAUSE_MILLIS = 500;
    /**
     * Maximum delay before the watch is restarted after an outage, so that nodes do not restart their watches all at
     * once.
     */
    private static final long REWATCH_SPREAD_MILLIS = 300;

    private final ObjectKind kind;
    private final SharedObjects objects;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Duration longestWait;
    private final Listener listener;
    private final VersionedTable table;
    private final KnowledgeAge age;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean listed;
    private boolean answered = true;
    private boolean following = true;
    private boolean resting;
    private long run;
    private long askedNanos;
    private boolean checking;
    private long checkAskedNanos;

    /**
     * Creates a watcher; {@link #start} starts it.
     *
     * @param kind kind to watch
     * @param objects source of the objects
     * @param loop event loop that runs the watcher
     * @param random source of jitter for retries and watches
     * @param longestWait maximum duration of a watch; each watch takes a random time between half of it and all of it,
     *     so that nodes do not renew their watches all at once
     * @param table local copy, updated with each change
     * @param listener receives changes and reachability
     */
    public ObjectWatcher(
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
        this.age = new KnowledgeAge(loop.clock());
    }

    /** Receives changes and reachability of the platform, on the event loop of the watcher. */
    public interface Listener {
        /**
         * Called after changes were applied to the local copy.
         *
         * @param news the changes that were new to this node
         */
        void onChanges(List<SharedObject> news);

        /**
         * Called when an outage of the platform begins, because the staleness exceeds {@link KnowledgeAge#SILENCE}, and
         * when it ends.
         *
         * @param reached false when an outage begins, true when it ends
         */
        void onReachabilityChanged(boolean reached);
    }

    /** Lists the objects and starts watching. */
    public void start() {
        next(++run);
    }

    /**
     * Detects an outage of the platform, and requests changes if the local copy is stale. Call this several times
     * within that staleness.
     *
     * @param checkAfter staleness at which this node requests changes; differs between nodes, so that few of them do at
     *     a time
     */
    public void checkIfStale(Duration checkAfter) {
        noticeSilence();
        long sinceCheck = loop.clock().nanos() - checkAskedNanos;
        if (listed && !checking && age().compareTo(checkAfter) >= 0 && sinceCheck >= checkAfter.toNanos()) {
            check();
        }
    }

    /**
     * Enables or disables watching. A pending watch continues to its end, and the initial list is requested in any
     * case.
     *
     * @param watches true to watch; false to rely on the changes that peers forward
     */
    public void follow(boolean watches) {
        following = watches;
        if (watches && resting) {
            next(++run);
        }
    }

    /**
     * Abandons the pending watch and sends a new one. Used when a peer has newer objects, which means that the watch is
     * dead or being rejected.
     */
    public void restart() {
        next(++run);
    }

    /**
     * Returns the staleness of the local copy.
     *
     * @return time since the latest answered request was sent, by this node or by a peer whose copy is no newer
     */
    public Duration age() {
        return age.age();
    }

    /**
     * Whether the platform answers this node.
     *
     * @return result of the latest completed request; true before the first
     */
    public boolean answered() {
        return answered;
    }

    /**
     * Returns the staleness derived from this node's own requests only.
     *
     * @return time since the latest answered request of this node was sent; empty before the first answer
     */
    public Optional<Duration> answeredAge() {
        return age.answeredAge();
    }

    /**
     * Records that the local copy is complete as of a time, because a peer whose copy is no newer got an answer.
     *
     * @param nanos time on the clock of this loop at which the peer sent its request, ns
     */
    public void completeAt(long nanos) {
        if (age.completeAt(nanos)) {
            silenceEnded(nanos);
        }
    }

    private void answeredWhatWasAsked(long nanos) {
        if (age.answered(nanos)) {
            silenceEnded(nanos);
        }
    }

    private void next(long mine) {
        if (mine != run) {
            return;
        }
        resting = listed && !following;
        if (resting) {
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
        answeredWhatWasAsked(askedNanos);
        if (list || !news.isEmpty()) {
            tellNews(news);
        }
    }

    /**
     * Contains failures of the listener: entries written by other programs may hold anything, and must not stop the
     * watch.
     */
    private void tellNews(List<SharedObject> news) {
        try {
            listener.onChanges(news);
        } catch (RuntimeException fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("change_listener_failed")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", news.size())
                            .failure(fault)
                            .toString());
        }
    }

    private void failed(StoreFailure failure, long mine) {
        if (failure == StoreFailure.ABSENT) {
            historyGone();
        }
        notAnswered(askedNanos, failure.toString());
        long pause = pauseMillis / 2 + random.nextLong(pauseMillis);
        pauseMillis = Math.min(LAST_PAUSE_MILLIS, pauseMillis * 2);
        loop.schedule(Duration.ofMillis(pause), () -> next(mine));
    }

    private void historyGone() {
        listed = false;
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("history_gone")
                        .with("kind", kind)
                        .with("as_of", table.asOf())
                        .toString());
    }

    private void check() {
        long asked = loop.clock().nanos();
        checkAskedNanos = asked;
        checking = true;
        objects.changes(kind, table.asOf())
                .whenComplete((changes, failure) -> loop.execute(() -> {
                    checking = false;
                    if (failure == null) {
                        checked(changes, asked);
                    } else {
                        checkFailed(StoreException.of(failure), asked);
                    }
                }));
    }

    private void checked(ObjectChanges changes, long asked) {
        tell(true, "check answered");
        List<SharedObject> news = table.apply(changes);
        answeredWhatWasAsked(asked);
        if (!news.isEmpty()) {
            // The watch should have delivered these changes, so its connection is dead.
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("changes_missed_by_watch")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", news.size())
                            .with("watch_age_ms", millisSince(askedNanos))
                            .toString());
            tellNews(news);
            restart();
        }
    }

    private void checkFailed(StoreFailure failure, long asked) {
        notAnswered(asked, "check " + failure);
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("check_failed")
                        .with("kind", kind)
                        .with("reason", failure)
                        .with("staleness_ms", age().toMillis())
                        .toString());
        if (failure == StoreFailure.ABSENT) {
            historyGone();
            restart();
        }
    }

    private void noticeSilence() {
        if (age.noticeSilence()) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("platform_outage_detected")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("staleness_ms", age().toMillis())
                            .toString());
            listener.onReachabilityChanged(false);
        }
    }

    private void silenceEnded(long provedNanos) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("outage_ended")
                        .with("kind", kind)
                        .with("as_of", table.asOf())
                        .with("staleness_ms", age().toMillis())
                        .with("watch_age_ms", millisSince(askedNanos))
                        .toString());
        listener.onReachabilityChanged(true);
        if (askedNanos - provedNanos < 0) {
            replaceWatch(run);
        }
    }

    /** Restarts a watch that was sent during the outage and may never be answered. */
    private void replaceWatch(long askedRun) {
        loop.schedule(Duration.ofMillis(random.nextLong(REWATCH_SPREAD_MILLIS)), () -> {
            if (run == askedRun) {
                restart();
            }
        });
    }

    /** Ignores the failure of a request that was sent before an answered one. */
    private void notAnswered(long asked, String reason) {
        if (age.answeredBefore(asked)) {
            tell(false, reason);
        }
    }

    /** Records whether the platform answers this node, and logs each transition. */
    private void tell(boolean now, String reason) {
        if (now != answered) {
            answered = now;
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(now ? "platform_reachable" : "platform_unreachable")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("reason", reason)
                            .with("request_age_ms", millisSince(askedNanos))
                            .with("staleness_ms", age().toMillis())
                            .toString());
        }
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(loop.clock().nanos() - nanos).toMillis();
    }
}
