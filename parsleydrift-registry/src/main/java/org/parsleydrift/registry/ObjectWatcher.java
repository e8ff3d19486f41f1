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
 * platform no longer has the history after the known revision, or the changes since then exceed a response, the objects
 * are listed again, which is done in pages.
 *
 * <p>Peers that watch the same kind exchange the staleness of their copies. When a copy becomes stale, a node requests
 * the changes without waiting, since a pending watch cannot be distinguished from a dead connection.
 */
public final class ObjectWatcher {
    private static final Logger LOG = System.getLogger(ObjectWatcher.class.getName());
    /** Short, because drains must be known to all nodes within two seconds. */
    private static final long INITIAL_BACKOFF_MILLIS = 60;

    /** A quarter of the time within which a drain must be known. */
    private static final long MAX_BACKOFF_MILLIS = 500;
    /**
     * Maximum delay before the watch is restarted after an outage, so that nodes do not restart their watches all at
     * once.
     */
    private static final long MAX_RESTART_DELAY_MILLIS = 300;

    private final ObjectKind kind;
    private final SharedObjects objects;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Duration maxWatchWait;
    private final Listener listener;
    private final VersionedTable table;
    private final StalenessTracker stalenessTracker;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean listed;
    private boolean platformReachable = true;
    private boolean watching = true;
    private boolean paused;
    private long currentGeneration;
    private long requestNanos;
    private boolean checking;
    private long checkRequestNanos;

    /**
     * Creates a watcher; {@link #start} starts it.
     *
     * @param kind kind to watch
     * @param objects source of the objects
     * @param loop event loop that runs the watcher
     * @param random source of jitter for retries and watches
     * @param maxWatchWait maximum duration of a watch; each watch takes a random time between half of it and all of it,
     *     so that nodes do not renew their watches all at once
     * @param table local copy, updated with each change
     * @param listener receives changes and reachability
     */
    public ObjectWatcher(
            ObjectKind kind,
            SharedObjects objects,
            EventLoop loop,
            RandomGenerator random,
            Duration maxWatchWait,
            VersionedTable table,
            Listener listener) {
        this.kind = kind;
        this.objects = objects;
        this.loop = loop;
        this.random = random;
        this.maxWatchWait = maxWatchWait;
        this.table = table;
        this.listener = listener;
        this.stalenessTracker = new StalenessTracker(loop.clock());
    }

    /** Receives changes and reachability of the platform, on the event loop of the watcher. */
    public interface Listener {
        /**
         * Called after changes were applied to the local copy.
         *
         * @param changes the changes that were new to this node
         */
        void onChanges(List<SharedObject> changes);

        /**
         * Called when an outage of the platform begins, because the staleness exceeds
         * {@link StalenessTracker#MAX_STALENESS}, and when it ends.
         *
         * @param reachable false when an outage begins, true when it ends
         */
        void onReachabilityChanged(boolean reachable);
    }

    /** Lists the objects and starts watching. */
    public void start() {
        requestNext(++currentGeneration);
    }

    /**
     * Detects an outage of the platform, and requests changes if the local copy is stale. Call this several times
     * within that staleness.
     *
     * @param maxStaleness staleness at which this node requests changes; differs between nodes, so that few of them do
     *     at a time
     */
    public void checkIfStale(Duration maxStaleness) {
        detectOutage();
        long sinceCheck = loop.clock().nanos() - checkRequestNanos;
        if (listed && !checking && staleness().compareTo(maxStaleness) >= 0 && sinceCheck >= maxStaleness.toNanos()) {
            checkForChanges();
        }
    }

    /**
     * Enables or disables watching. A pending watch continues to its end, and the initial list is requested in any
     * case.
     *
     * @param enabled true to watch; false to rely on the changes that peers forward
     */
    public void setWatching(boolean enabled) {
        watching = enabled;
        if (enabled && paused) {
            requestNext(++currentGeneration);
        }
    }

    /**
     * Abandons the pending watch and sends a new one. Used when a peer has newer objects, which means that the watch is
     * dead or being rejected.
     */
    public void restart() {
        requestNext(++currentGeneration);
    }

    /**
     * Returns the staleness of the local copy.
     *
     * @return time since the latest answered request was sent, by this node or by a peer whose copy is no newer
     */
    public Duration staleness() {
        return stalenessTracker.staleness();
    }

    /**
     * Whether the platform answers this node.
     *
     * @return result of the latest completed request; true before the first
     */
    public boolean isPlatformReachable() {
        return platformReachable;
    }

    /**
     * Returns the staleness derived from this node's own requests only.
     *
     * @return time since the latest answered request of this node was sent; empty before the first answer
     */
    public Optional<Duration> ownStaleness() {
        return stalenessTracker.ownStaleness();
    }

    /**
     * Records that the local copy is complete as of a time, because a peer whose copy is no newer got an answer.
     *
     * @param nanos time on the clock of this loop at which the peer sent its request, ns
     */
    public void recordCompleteAt(long nanos) {
        if (stalenessTracker.recordCompleteAt(nanos)) {
            endOutage(nanos);
        }
    }

    private void recordAnswer(long nanos) {
        if (stalenessTracker.recordAnswer(nanos)) {
            endOutage(nanos);
        }
    }

    private void requestNext(long generation) {
        if (generation != currentGeneration) {
            return;
        }
        paused = listed && !watching;
        if (paused) {
            return;
        }
        requestNanos = loop.clock().nanos();
        var response = listed ? objects.watch(kind, table.asOf(), randomWatchWait()) : objects.list(kind);
        boolean isList = !listed;
        response.whenComplete((changes, failure) -> loop.execute(() -> {
            if (generation != currentGeneration) {
                return;
            }
            if (failure == null) {
                applyResponse(isList, changes);
                requestNext(generation);
            } else {
                retryAfterFailure(StoreException.of(failure), generation);
            }
        }));
    }

    private Duration randomWatchWait() {
        long maxMillis = maxWatchWait.toMillis();
        return Duration.ofMillis(maxMillis / 2 + random.nextLong(maxMillis / 2 + 1));
    }

    private void applyResponse(boolean isList, ObjectChanges changes) {
        var applied = isList ? table.replace(changes) : table.apply(changes);
        listed = true;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        setPlatformReachable(true, "answered");
        recordAnswer(requestNanos);
        if (isList || !applied.isEmpty()) {
            notifyChanges(applied);
        }
    }

    /**
     * Contains failures of the listener: entries written by other programs may hold anything, and must not stop the
     * watch.
     */
    private void notifyChanges(List<SharedObject> changes) {
        try {
            listener.onChanges(changes);
        } catch (RuntimeException fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("change_listener_failed")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", changes.size())
                            .failure(fault)
                            .toString());
        }
    }

    private void retryAfterFailure(StoreFailure failure, long generation) {
        if (isWatchUseless(failure)) {
            relist(failure);
        }
        recordFailure(requestNanos, failure.toString());
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        loop.schedule(Duration.ofMillis(delayMillis), () -> requestNext(generation));
    }

    /** Returns whether further requests for the changes since the known revision would fail as well. */
    private static boolean isWatchUseless(StoreFailure failure) {
        return failure == StoreFailure.ABSENT || failure == StoreFailure.TOO_LARGE;
    }

    private void relist(StoreFailure failure) {
        listed = false;
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of(failure == StoreFailure.ABSENT ? "history_gone" : "changes_too_large")
                        .with("kind", kind)
                        .with("as_of", table.asOf())
                        .toString());
    }

    private void checkForChanges() {
        long checkNanos = loop.clock().nanos();
        checkRequestNanos = checkNanos;
        checking = true;
        objects.changes(kind, table.asOf())
                .whenComplete((changes, failure) -> loop.execute(() -> {
                    checking = false;
                    if (failure == null) {
                        applyCheckResponse(changes, checkNanos);
                    } else {
                        handleCheckFailure(StoreException.of(failure), checkNanos);
                    }
                }));
    }

    private void applyCheckResponse(ObjectChanges changes, long checkNanos) {
        setPlatformReachable(true, "check answered");
        List<SharedObject> missed = table.apply(changes);
        recordAnswer(checkNanos);
        if (!missed.isEmpty()) {
            // The watch should have delivered these changes, so its connection is dead.
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("changes_missed_by_watch")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", missed.size())
                            .with("watch_age_ms", millisSince(requestNanos))
                            .toString());
            notifyChanges(missed);
            restart();
        }
    }

    private void handleCheckFailure(StoreFailure failure, long checkNanos) {
        recordFailure(checkNanos, "check " + failure);
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("check_failed")
                        .with("kind", kind)
                        .with("reason", failure)
                        .with("staleness_ms", staleness().toMillis())
                        .toString());
        if (isWatchUseless(failure)) {
            relist(failure);
            restart();
        }
    }

    private void detectOutage() {
        if (stalenessTracker.detectOutage()) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("platform_outage_detected")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("staleness_ms", staleness().toMillis())
                            .toString());
            listener.onReachabilityChanged(false);
        }
    }

    private void endOutage(long completeNanos) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("outage_ended")
                        .with("kind", kind)
                        .with("as_of", table.asOf())
                        .with("staleness_ms", staleness().toMillis())
                        .with("watch_age_ms", millisSince(requestNanos))
                        .toString());
        listener.onReachabilityChanged(true);
        if (requestNanos - completeNanos < 0) {
            scheduleRestart(currentGeneration);
        }
    }

    /** Restarts a watch that was sent during the outage and may never be answered. */
    private void scheduleRestart(long generation) {
        loop.schedule(Duration.ofMillis(random.nextLong(MAX_RESTART_DELAY_MILLIS)), () -> {
            if (currentGeneration == generation) {
                restart();
            }
        });
    }

    /** Ignores the failure of a request that was sent before an answered one. */
    private void recordFailure(long failedRequestNanos, String reason) {
        if (stalenessTracker.hasNoAnswerSince(failedRequestNanos)) {
            setPlatformReachable(false, reason);
        }
    }

    /** Records whether the platform answers this node, and logs each transition. */
    private void setPlatformReachable(boolean reachable, String reason) {
        if (reachable != platformReachable) {
            platformReachable = reachable;
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(reachable ? "platform_reachable" : "platform_unreachable")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("reason", reason)
                            .with("request_age_ms", millisSince(requestNanos))
                            .with("staleness_ms", staleness().toMillis())
                            .toString());
        }
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(loop.clock().nanos() - nanos).toMillis();
    }
}
