package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.placement.RunnerLossTracker;
import org.parsleydrift.placement.WorkKey;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;

/**
 * The runners at which work was left unfinished, as this node, its peers and the store VMs know them. Callers try again at any
 * node, so each is reported to all peers; entry processes may end together, so each is written to the store VMs as well. Before
 * work for which a runner counts is sent to another one, that attempt is written. Confined to the event loop.
 */
public final class RunnerLosses implements LossReceiver {
    private static final Logger LOG = System.getLogger(RunnerLosses.class.getName());

    /** Silence under a cancelled request from which on the runner is checked, so that others avoid it if it has ended. */
    private static final Duration MIN_CHECKED_SILENCE = Duration.ofMillis(200);
    /** Maximum number of runners whose latest response is remembered. */
    private static final int MAX_RESPONDING = 4096;

    private final RunnerLossTracker tracker = new RunnerLossTracker();
    private final Map<RunnerLoss, RunnerLossLedger.Attempt> reserved = new HashMap<>();
    /** Times at which the latest connections were established on which runners have responded, ns, by key of the runner. */
    private final Map<Long, Long> responding = new LinkedHashMap<>();

    private final RunnerRestarts restarts;
    private final EventLoop loop;
    private final RunnerChecks checks;
    private final RunnerLossLedger ledger;
    private final KeptLossReader keptLosses;
    private final Runnable limitListener;

    private Publisher publisher = (loss, connectionLost, lostRunners) -> {};
    private BooleanSupplier current = () -> true;

    /** Reports losses to the peers. */
    @FunctionalInterface
    public interface Publisher {
        /**
         * Reports a loss.
         *
         * @param loss the loss
         * @param connectionLost whether the connection to the runner was lost, so that it may have been restarted
         * @param lostRunners number of runners that count for the work, including this one
         */
        void publish(RunnerLoss loss, boolean connectionLost, int lostRunners);

        /**
         * Takes back losses.
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
     * @param ledger what the store VMs keep
     * @param limitListener called when work has reached the limit, so that queued requests for it are placed anew
     */
    RunnerLosses(EventLoop loop, RunnerChecks checks, RunnerLossLedger ledger, Runnable limitListener) {
        this.loop = loop;
        this.checks = checks;
        this.ledger = ledger;
        this.keptLosses = new KeptLossReader(loop, ledger, losses -> losses.forEach(this::recordKept));
        this.restarts = new RunnerRestarts(loop.clock()::nanos);
        this.limitListener = limitListener;
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

    /**
     * Begins to read what the store VMs keep. Calls that may be repeated wait for it, but not for long: without store VMs no
     * other requests are served, and those that end runners are the exception.
     *
     * @param listener called when calls no longer have to wait
     */
    public void start(Runnable listener) {
        keptLosses.start(listener);
    }

    /** Returns whether what the peers know is known here; if not, no request may be sent to a runner yet. */
    boolean areCurrent() {
        return current.getAsBoolean();
    }

    /**
     * Returns whether a request has to wait until the store VMs have told what they know. Turns learn of earlier attempts as
     * they begin, and what must not be repeated is sent to one runner only.
     */
    boolean mustAwaitStores(Route route, boolean isTurn) {
        return keptLosses.isAwaited() && !isTurn && route.isRetriable();
    }

    @Override
    public void recordReported(List<RunnerLoss> losses, boolean connectionLost) {
        losses.forEach(each -> {
            if (record(each, "peer") && connectionLost) {
                restarts.recordLost(each.runner());
            }
        });
    }

    @Override
    public void recordRetracted(List<RunnerLoss> losses) {
        losses.forEach(tracker::remove);
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
     * Returns the number of pieces of work that are sent to no further runner.
     *
     * @return number of pieces of work
     */
    public int worksAtLimit() {
        return tracker.worksAtLimit();
    }

    /** Records that the connection to a runner was lost under a request. */
    void recordLost(ProgramWork work, Runner runner) {
        restarts.recordLost(RunnerKey.of(runner.incarnation()));
        recordUnfinished(work, runner, true);
    }

    /** Records that a response broke off or was unusable, or that this node stops while a request is at a runner. */
    void recordBroken(ProgramWork work, Runner runner) {
        recordUnfinished(work, runner, false);
    }

    /**
     * Records that a request was cancelled at a runner before the end of its response.
     *
     * @param work the work that the request asks for
     * @param runner the runner
     * @param silence time since the runner was last heard in this attempt
     */
    void recordSilence(ProgramWork work, Runner runner, Duration silence) {
        recordUnfinished(work, runner, false);
        if (silence.compareTo(MIN_CHECKED_SILENCE) >= 0) {
            checks.check(runner, result -> handleCheck(runner, result));
        }
    }

    /** Handles the result of a check; one without an answer shows neither that the runner has ended nor that it lives. */
    private void handleCheck(Runner runner, ProbeResult result) {
        switch (result) {
            case ProbeResult.Answered answered -> recordAnswer(runner, answered.connectedNanos());
            case ProbeResult.Unreachable ignored -> recordUnreachable(runner);
            case ProbeResult.Replaced ignored -> recordUnreachable(runner);
            case ProbeResult.Unanswered ignored -> {}
        }
        if (tracker.hasWorkAtLimit()) {
            limitListener.run();
        }
    }

    private void recordUnfinished(ProgramWork work, Runner runner, boolean connectionLost) {
        RunnerLoss loss = new RunnerLoss(work.key(), RunnerKey.of(runner.incarnation()));
        RunnerLossLedger.Attempt attempt = reserved.remove(loss);
        boolean added = record(loss, "self");
        // Also if the runner counts already: whether it is alive must be shown anew.
        publisher.publish(loss, connectionLost, tracker.lostRunners(work.key()));
        if (added) {
            write(ledger.settle(attempt == null ? ledger.attempt(work.program(), loss) : attempt), loss);
        } else if (attempt != null) {
            write(ledger.settle(attempt), loss);
        }
    }

    private static void write(CompletableFuture<Void> written, RunnerLoss loss) {
        written.whenComplete((done, failure) -> {
            if (failure != null) {
                LOG.log(
                        Logger.Level.WARNING,
                        () -> LogLine.of("runner_loss_not_written")
                                .with("work", loss.work())
                                .failure(failure)
                                .toString());
            }
        });
    }

    /**
     * Records what the store VMs have told with the grants of a program, as one of its turns began.
     *
     * @param work the turn
     * @param attempts the attempts that are among the grants
     * @return whether there are attempts at the turn, so that further ones need a reservation
     */
    boolean recordStored(ProgramWork work, List<Grant> attempts) {
        RunnerLossLedger.Standing standing = RunnerLossLedger.standing(attempts, work.key());
        standing.unfinished().forEach(each -> recordKept(new RunnerLoss(work.key(), each)));
        return !standing.runners().isEmpty();
    }

    /** Returns whether a runner must be reserved before work is sent to it, as another one counts for the work. */
    boolean needsReservation(WorkKey work, Runner runner) {
        return !work.isShared()
                && tracker.lostRunners(work) > 0
                && !tracker.contains(new RunnerLoss(work, RunnerKey.of(runner.incarnation())));
    }

    /**
     * Reserves a runner for work for which others count. A granted reservation ends with one of the methods that record how
     * the attempt has ended, or with {@link #release}.
     *
     * @param work the work
     * @param runner the runner
     * @return completes with whether the work may be sent to the runner; never fails
     */
    CompletableFuture<RunnerReservation> reserve(ProgramWork work, Runner runner) {
        RunnerLoss loss = new RunnerLoss(work.key(), RunnerKey.of(runner.incarnation()));
        RunnerLossLedger.Attempt attempt = ledger.attempt(work.program(), loss);
        long startNanos = nowNanos();
        return ledger.reserve(attempt)
                .handleAsync(
                        (others, failure) -> {
                            RunnerReservation result =
                                    failure == null ? decide(loss, others) : RunnerReservation.UNKNOWN;
                            if (result == RunnerReservation.GRANTED) {
                                reserved.put(loss, attempt);
                            } else {
                                write(ledger.release(attempt), loss);
                            }
                            logReservation(loss, runner, result, startNanos);
                            return result;
                        },
                        loop);
    }

    private RunnerReservation decide(RunnerLoss loss, RunnerLossLedger.Standing others) {
        others.unfinished().forEach(each -> recordKept(new RunnerLoss(loss.work(), each)));
        Set<Long> counted = tracker.runners(loss.work());
        if (counted.contains(loss.runner()) || allows(counted, loss.runner(), others)) {
            return RunnerReservation.GRANTED;
        }
        return counted.size() >= RunnerLossTracker.MAX_LOST_RUNNERS
                ? RunnerReservation.AT_LIMIT
                : RunnerReservation.UNDER_WAY;
    }

    private static boolean allows(Set<Long> counted, long runner, RunnerLossLedger.Standing others) {
        Set<Long> runners = new HashSet<>(counted);
        runners.addAll(others.runners());
        runners.add(runner);
        return runners.size() <= RunnerLossTracker.MAX_LOST_RUNNERS;
    }

    private void logReservation(RunnerLoss loss, Runner runner, RunnerReservation result, long startNanos) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_reserved")
                        .with("work", loss.work())
                        .with("runner", runner.incarnation())
                        .with("result", result)
                        .with("lost_runners", tracker.lostRunners(loss.work()))
                        .with("ms", (nowNanos() - startNanos) / 1_000_000)
                        .toString());
    }

    /** Returns whether runners are reserved. */
    boolean hasReservations() {
        return !reserved.isEmpty();
    }

    /** Releases a runner, which has not run the work; no effect unless it is reserved. */
    void release(ProgramWork work, Runner runner) {
        RunnerLoss loss = new RunnerLoss(work.key(), RunnerKey.of(runner.incarnation()));
        RunnerLossLedger.Attempt attempt = reserved.remove(loss);
        if (attempt != null) {
            write(ledger.release(attempt), loss);
        }
    }

    /** Records that work has been completed at a runner; no runner counts for it any more. */
    void recordCompleted(ProgramWork work, Runner runner) {
        release(work, runner);
        retract(tracker.forget(work.key()));
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

    /** Records that a runner could not be connected to. */
    void recordUnreachable(Runner runner) {
        restarts.recordLost(RunnerKey.of(runner.incarnation()));
    }

    /**
     * Records that a runner responds.
     *
     * @param runner the runner
     * @param connectedNanos time at which the connection of the response was established, ns
     */
    void recordResponse(Runner runner, long connectedNanos) {
        if (!tracker.isEmpty()) {
            long key = RunnerKey.of(runner.incarnation());
            responding.merge(key, connectedNanos, Math::max);
            if (responding.size() > MAX_RESPONDING) {
                responding.remove(responding.keySet().iterator().next());
            }
            retract(tracker.recordResponse(key, connectedNanos));
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
        recordResponse(runner, connectedNanos);
    }

    private void retract(List<RunnerLoss> losses) {
        if (!losses.isEmpty()) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("runner_losses_taken_back")
                            .with("losses", losses.size())
                            .with("work", losses.getFirst().work())
                            .toString());
            publisher.retract(losses);
        }
    }

    /** Returns whether no runner counts for any work; if so, keys of requests need not be computed. */
    boolean isEmpty() {
        return tracker.isEmpty();
    }

    /** Returns whether there may be work that must be sent to no further runner. */
    boolean hasWorkAtLimit() {
        return tracker.hasWorkAtLimit();
    }

    /** Returns whether work must be sent to no further runner. */
    boolean isAtLimit(WorkKey work) {
        return tracker.isAtLimit(work, nowNanos());
    }

    /**
     * Returns whether work at the limit may be sent to a runner: to one that counts and has responded on a connection that was
     * established since, so that it had not ended under the work by then.
     */
    boolean allowsAgain(WorkKey work, Runner runner) {
        long key = RunnerKey.of(runner.incarnation());
        OptionalLong lossNanos = tracker.lossNanos(new RunnerLoss(work, key));
        Long respondedNanos = responding.get(key);
        return lossNanos.isPresent()
                && respondedNanos != null
                && respondedNanos - lossNanos.getAsLong() > 0
                && isTrusted(runner);
    }

    /**
     * Checks the runners to which work at the limit may be sent again if they are alive.
     *
     * @param work key of the work
     * @param runners runners of the service that accept new requests
     * @return whether a check is under way
     */
    boolean checkAgain(WorkKey work, List<Runner> runners) {
        return runners.stream()
                        .filter(each -> tracker.contains(new RunnerLoss(work, RunnerKey.of(each.incarnation()))))
                        .filter(this::isTrusted)
                        .filter(each -> checks.checkIfDue(each, result -> handleCheck(each, result)))
                        .count()
                > 0;
    }

    private boolean isTrusted(Runner runner) {
        return !restarts.mayHaveRestarted(runner) && !restarts.hasNotAnsweredSince(runner);
    }

    /** Returns whether another runner than the present one may be asked once the present one counts. */
    boolean allowsAnother(WorkKey work, Runner present) {
        Set<Long> runners = new HashSet<>(tracker.runners(work));
        runners.add(RunnerKey.of(present.incarnation()));
        return runners.size() < RunnerLossTracker.MAX_LOST_RUNNERS;
    }

    /** Records a loss that the store VMs keep; its time is not known, so that of a known one stays. */
    private void recordKept(RunnerLoss loss) {
        if (!tracker.contains(loss)) {
            record(loss, "store");
        }
    }

    private boolean record(RunnerLoss loss, String source) {
        boolean wasAtLimit = isAtLimit(loss.work());
        boolean added = tracker.record(loss, nowNanos());
        if (!wasAtLimit && isAtLimit(loss.work())) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("work_limited")
                            .with("work", loss.work())
                            .with("lost_runners", tracker.lostRunners(loss.work()))
                            .with("last_reported_by", source)
                            .toString());
            limitListener.run();
        }
        return added;
    }

    private long nowNanos() {
        return loop.clock().nanos();
    }
}
