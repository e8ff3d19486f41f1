package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.LossEvidence;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.placement.RunnerLossTracker;
import org.parsleydrift.placement.WorkKey;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;

/**
 * The runners that were lost under requests, as this node and its peers have seen them. A request that runners end under
 * is retried by its caller at any node, so each loss is reported to all peers. A runner that is silent under a request counts
 * as lost until a health check shows whether it has ended. Confined to the event loop.
 */
public final class RunnerLosses implements LossReceiver {
    private static final Logger LOG = System.getLogger(RunnerLosses.class.getName());

    /** Silence from which on a runner counts under work that has lost no other one; callers that leave sooner prove nothing. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(200);
    /** Time within which a health check usually disproves a first loss, so that it need not be reported. */
    private static final Duration CHECK_TIME = Duration.ofMillis(20);
    /** Number of losses of a piece of work from which on those that may be none are checked. */
    private static final int CHECKED_LOSSES = 2;
    /** Maximum number of reported losses that are remembered to be taken back. */
    private static final int MAX_REPORTED = 3 * RunnerLossTracker.MAX_WORKS;

    private final RunnerLossTracker tracker = new RunnerLossTracker();
    private final RunnerRestarts restarts;
    private final EventLoop loop;
    private final LongSupplier nanos;
    private final RunnerChecks checks;
    private final Runnable rejectionListener;
    /** Losses that this node has reported and not taken back, the eldest one first. */
    private final Set<RunnerLoss> reported = new LinkedHashSet<>();

    private Publisher publisher = (loss, lostRunners) -> {};
    private BooleanSupplier current = () -> true;

    /** Reports losses to the peers. */
    @FunctionalInterface
    public interface Publisher {
        /**
         * Reports a loss.
         *
         * @param loss the loss
         * @param lostRunners number of runners that were lost under the work so far, including this one
         */
        void publish(RunnerLoss loss, int lostRunners);

        /**
         * Takes back losses that were reported.
         *
         * @param losses the losses
         */
        default void retract(List<RunnerLoss> losses) {}
    }

    /**
     * Creates an empty collection.
     *
     * @param loop the event loop
     * @param checks checks runners that may have ended
     * @param rejectionListener called when work is rejected from now on, so that queued requests for it withdraw
     */
    RunnerLosses(EventLoop loop, RunnerChecks checks, Runnable rejectionListener) {
        this.loop = loop;
        this.nanos = loop.clock()::nanos;
        this.checks = checks;
        this.restarts = new RunnerRestarts(nanos);
        this.rejectionListener = rejectionListener;
    }

    /**
     * Sets the receiver of the losses that this node sees first. To be called before the first request.
     *
     * @param newPublisher reports a loss to the peers
     */
    public void publishTo(Publisher newPublisher) {
        publisher = newPublisher;
    }

    /**
     * Sets what tells whether this node knows the losses that its peers have seen. To be called before the first request.
     *
     * @param newCurrent returns whether it does
     */
    public void setCurrent(BooleanSupplier newCurrent) {
        current = newCurrent;
    }

    /** Returns whether the losses that the peers have seen are known; if not, no request may be sent to a runner yet. */
    boolean areCurrent() {
        return current.getAsBoolean();
    }

    @Override
    public void recordReported(List<RunnerLoss> losses) {
        losses.forEach(each -> record(each, LossEvidence.CONNECTION_LOST, "peer"));
    }

    @Override
    public void recordRetracted(List<RunnerLoss> losses) {
        losses.stream().filter(each -> !reported.contains(each)).forEach(tracker::remove);
    }

    /**
     * Returns the latest losses, for a node that has just started.
     *
     * @param most maximum number
     * @return the losses
     */
    public List<RunnerLoss> latest(int most) {
        return tracker.latest(most);
    }

    /**
     * Returns the number of pieces of work that are rejected.
     *
     * @return number of pieces of work
     */
    public int rejectedWorks() {
        return tracker.rejectedWorks();
    }

    /** Records that the connection to a runner was lost under a request. */
    void recordLost(WorkKey work, Runner runner) {
        recordOwn(new RunnerLoss(work, RunnerKey.of(runner.incarnation())), LossEvidence.CONNECTION_LOST);
        if (tracker.lostRunners(work) >= CHECKED_LOSSES) {
            tracker.unconfirmedRunners(work).forEach(this::check);
        }
    }

    /**
     * Records that a request was cancelled at a runner before the end of its response. The runner counts as lost at once, as
     * the caller may try again at once, and is checked.
     *
     * @param work the work that the request asks for
     * @param runner the runner
     * @param silence time since the runner was last heard in this attempt
     */
    void recordSilence(WorkKey work, Runner runner, Duration silence) {
        RunnerLoss loss = new RunnerLoss(work, RunnerKey.of(runner.incarnation()));
        if (tracker.lostRunners(work) > 0) {
            recordOwn(loss, LossEvidence.SILENCE);
        } else if (silence.compareTo(MIN_SILENCE) >= 0) {
            record(loss, LossEvidence.SILENCE, "self");
            loop.schedule(CHECK_TIME, () -> reportIfCounted(loss));
        } else {
            tracker.recordSilence(loss, nanos.getAsLong());
            return;
        }
        checks.check(runner, result -> handleCheck(runner, result));
    }

    /** Reports that this node stops while a request is at a runner, as it will not see whether the runner ends under it. */
    void recordAbandoned(WorkKey work, Runner runner) {
        recordOwn(new RunnerLoss(work, RunnerKey.of(runner.incarnation())), LossEvidence.SILENCE);
    }

    private void reportIfCounted(RunnerLoss loss) {
        if (tracker.contains(loss) && !reported.contains(loss)) {
            report(loss);
        }
    }

    private void check(long runner) {
        checks.check(runner, this::handleCheck);
    }

    private void handleCheck(Runner runner, ProbeResult result) {
        long key = RunnerKey.of(runner.incarnation());
        switch (result) {
            case ProbeResult.Answered answered -> recordAnswer(runner, answered.connectedNanos());
            case ProbeResult.Unreachable ignored -> recordUnreachable(runner);
            case ProbeResult.Replaced ignored -> recordUnreachable(runner);
            case ProbeResult.Unanswered ignored ->
                handleTakenBack(runner, tracker.withdrawSilence(key, nanos.getAsLong()));
        }
    }

    /**
     * Sets what returns the age of the runners' entries. To be called before the first request.
     *
     * @param staleness returns the time since the platform last confirmed the entries
     */
    public void setEntryStaleness(Supplier<Duration> staleness) {
        restarts.setStaleness(staleness);
    }

    /** Returns whether another process than the one of the entry may serve at the runner's address. */
    boolean mayHaveRestarted(Runner runner) {
        return restarts.mayHaveRestarted(runner);
    }

    /** Records that a runner could not be connected to; it has ended under the requests that it did not answer. */
    void recordUnreachable(Runner runner) {
        restarts.recordLost(RunnerKey.of(runner.incarnation()));
        if (!tracker.isEmpty()) {
            tracker.recordUnreachable(RunnerKey.of(runner.incarnation()), nanos.getAsLong())
                    .forEach(each -> recordOwn(each, LossEvidence.UNREACHABLE));
        }
    }

    /**
     * Records that a runner has answered a request.
     *
     * @param runner the runner
     * @param connectedNanos time at which the connection of the request was established, ns
     */
    void recordAnswer(Runner runner, long connectedNanos) {
        restarts.recordAnswer(runner, connectedNanos);
        if (!tracker.isEmpty()) {
            handleTakenBack(runner, tracker.recordAnswer(RunnerKey.of(runner.incarnation()), connectedNanos));
        }
    }

    private void handleTakenBack(Runner runner, List<RunnerLoss> losses) {
        losses.forEach(each -> LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_loss_taken_back")
                        .with("work", each.work())
                        .with("runner", runner.incarnation())
                        .toString()));
        List<RunnerLoss> retracted = losses.stream().filter(reported::remove).toList();
        if (!retracted.isEmpty()) {
            publisher.retract(retracted);
        }
    }

    /** Returns whether there may be work to reject. */
    boolean hasRejectedWork() {
        return tracker.hasRejectedWork();
    }

    /** Returns whether work must not be sent to another runner. Losses that lead to a rejection are checked. */
    boolean isRejected(WorkKey work) {
        boolean rejected = tracker.isRejected(work, nanos.getAsLong());
        if (rejected) {
            tracker.unconfirmedRunners(work).forEach(this::check);
        }
        return rejected;
    }

    private void recordOwn(RunnerLoss loss, LossEvidence evidence) {
        if (record(loss, evidence, "self")) {
            report(loss);
        }
    }

    private void report(RunnerLoss loss) {
        reported.add(loss);
        if (reported.size() > MAX_REPORTED) {
            reported.remove(reported.iterator().next());
        }
        publisher.publish(loss, tracker.lostRunners(loss.work()));
    }

    private boolean record(RunnerLoss loss, LossEvidence evidence, String source) {
        boolean wasRejected = tracker.lostRunners(loss.work()) >= RunnerLossTracker.MAX_LOST_RUNNERS;
        boolean added = tracker.record(loss, evidence, nanos.getAsLong());
        if (added && evidence != LossEvidence.SILENCE) {
            restarts.recordLost(loss.runner());
        }
        int lost = tracker.lostRunners(loss.work());
        if (!wasRejected && lost >= RunnerLossTracker.MAX_LOST_RUNNERS) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("work_rejected")
                            .with("work", loss.work())
                            .with("lost_runners", lost)
                            .with("last_reported_by", source)
                            .toString());
            rejectionListener.run();
        }
        return added;
    }
}
