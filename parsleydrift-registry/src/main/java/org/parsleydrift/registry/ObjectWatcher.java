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
 * Follows one kind of shared objects: a list, then watches, each resumed where the previous one ended. After a failure
 * it waits a random, growing time, so that many nodes don't come back together; when the history is gone it lists anew.
 *
 * <p>Where nodes that follow the same kind tell each other how old their knowledge is, they also check: when it grows old
 * one of them asks for changes without waiting. A watch may be silent for as long as it waits, at all nodes at once.
 */
public final class ObjectWatcher {
    private static final Logger LOG = System.getLogger(ObjectWatcher.class.getName());
    /** Pause after the first failure, ms; short, since drains must be known within about two seconds. */
    private static final long FIRST_PAUSE_MILLIS = 60;
    /** Longest pause between tries, ms: a quarter of the time in which a drain must be known. */
    private static final long LAST_PAUSE_MILLIS = 500;
    /**
     * After a silence each node that watches asks anew within this time, ms, while news reach all over the one that checked.
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
     * Makes a follower; {@link #start} starts it.
     *
     * @param kind the kind to follow
     * @param objects where from
     * @param loop runs it
     * @param random spreads tries
     * @param longestWait the longest wait of a watch; each waits a random time from half of it, so that nodes don't ask
     *     anew together
     * @param table takes in what is learned
     * @param listener is told of news
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

    /** Receives what a follower learns, on its loop. */
    public interface Listener {
        /**
         * Changes were taken in.
         *
         * @param news the changes that were news
         */
        void onChanges(List<SharedObject> news);

        /**
         * The platform has been silent for longer than {@link KnowledgeAge#SILENCE}, or a silence has ended.
         *
         * @param reached whether it answers this node or one that this node hears of
         */
        void onReachabilityChanged(boolean reached);
    }

    /** Starts following. */
    public void start() {
        next(++run);
    }

    /**
     * Notices a silence of the platform, and asks for changes where the knowledge has grown old. To be called several
     * times within that age.
     *
     * @param checkAfter the age at which this node is to ask; differs among nodes, so that few ask at a time
     */
    public void checkIfStale(Duration checkAfter) {
        noticeSilence();
        long sinceCheck = loop.clock().nanos() - checkAskedNanos;
        if (listed && !checking && age().compareTo(checkAfter) >= 0 && sinceCheck >= checkAfter.toNanos()) {
            check();
        }
    }

    /**
     * Has this node watch, or leaves that to others who pass on what they learn. A watch that waits goes on to its end, and
     * the first list is asked for in any case.
     *
     * @param watches whether to watch
     */
    public void follow(boolean watches) {
        following = watches;
        if (watches && resting) {
            next(++run);
        }
    }

    /**
     * Drops the present watch and asks anew: another node knows more, so this watch has gone silent or is turned away.
     */
    public void restart() {
        next(++run);
    }

    /**
     * How old this node's knowledge may be.
     *
     * @return the time since the newest call was asked, by this node or by one that knows no more, that was answered
     */
    public Duration age() {
        return age.age();
    }

    /**
     * Whether the platform answers this node.
     *
     * @return whether the newest call that has ended was answered; true before the first
     */
    public boolean answered() {
        return answered;
    }

    /**
     * How old this node's knowledge may be by its own calls.
     *
     * @return the time since its newest call was asked that was answered; empty before the first
     */
    public Optional<Duration> answeredAge() {
        return age.answeredAge();
    }

    /**
     * Notes that this node's knowledge is complete up to a moment: a peer that knows no more has been answered.
     *
     * @param nanos when the peer asked, on this loop's clock
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

    /** Entries of other writers may hold anything; one that trips the listener must not end the following of all. */
    private void tellNews(List<SharedObject> news) {
        try {
            listener.onChanges(news);
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
            // The watch would have brought these: it has gone silent.
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("news_missed_by_watch")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("changes", news.size())
                            .with("watch_asked_ms_ago", millisSince(askedNanos))
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
                        .with("known_ms_ago", age().toMillis())
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
                    () -> LogLine.of("platform_silent")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("known_ms_ago", age().toMillis())
                            .toString());
            listener.onReachabilityChanged(false);
        }
    }

    private void silenceEnded(long provedNanos) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("silence_ended")
                        .with("kind", kind)
                        .with("as_of", table.asOf())
                        .with("known_ms_ago", age().toMillis())
                        .with("watch_asked_ms_ago", millisSince(askedNanos))
                        .toString());
        listener.onReachabilityChanged(true);
        if (askedNanos - provedNanos < 0) {
            replaceWatch(run);
        }
    }

    /** A watch that was asked in a silence may never be answered. */
    private void replaceWatch(long askedRun) {
        loop.schedule(Duration.ofMillis(random.nextLong(REWATCH_SPREAD_MILLIS)), () -> {
            if (run == askedRun) {
                restart();
            }
        });
    }

    /** A call that was asked before one that was answered says nothing of the present. */
    private void notAnswered(long asked, String reason) {
        if (age.answeredBefore(asked)) {
            tell(false, reason);
        }
    }

    /** Logs that this node itself is answered again, or not any more. */
    private void tell(boolean now, String reason) {
        if (now != answered) {
            answered = now;
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(now ? "platform_regained" : "platform_lost")
                            .with("kind", kind)
                            .with("as_of", table.asOf())
                            .with("reason", reason)
                            .with("asked_ms_ago", millisSince(askedNanos))
                            .with("known_ms_ago", age().toMillis())
                            .toString());
        }
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(loop.clock().nanos() - nanos).toMillis();
    }
}
