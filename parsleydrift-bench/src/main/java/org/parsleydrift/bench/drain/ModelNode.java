package org.parsleydrift.bench.drain;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleydrift.bench.decisions.VirtualTime;

/** A node that accepts requests, drains, ends and starts again. */
final class ModelNode {
    /** Longest time that a request waits for a runner, ms. */
    private static final double MAX_WAIT_MILLIS = 900;

    private final ModelFleet fleet;
    private final VirtualTime time;
    private final Set<Attempt> open = new LinkedHashSet<>();
    private final Map<RequestKind, LatencyHistory> latencies = new HashMap<>();
    private State state = State.READY;
    private double signalMillis;
    private int generation;

    private enum State {
        READY,
        DRAINING,
        /** Draining, and connections are refused. */
        CLOSED,
        DOWN
    }

    ModelNode(ModelFleet fleet) {
        this.fleet = fleet;
        this.time = fleet.time();
    }

    boolean isReady() {
        return state == State.READY;
    }

    boolean isListening() {
        return state == State.READY || state == State.DRAINING;
    }

    /** Returns the number of the process, which changes when connections to an earlier one are closed. */
    int generation() {
        return generation;
    }

    void terminate() {
        state = State.DRAINING;
        signalMillis = time.millis();
        DrainTimes times = fleet.times();
        time.schedule(times.listenMillis(), this::closeListener);
        time.schedule(times.answerMillis(), this::endOpenRequests);
    }

    private void closeListener() {
        if (state == State.DRAINING) {
            state = State.CLOSED;
            generation++;
            checkDrained();
        }
    }

    private void checkDrained() {
        if (state == State.DOWN || state == State.READY) {
            return;
        }
        if (open.isEmpty()) {
            exit();
        } else {
            time.schedule(DrainTimes.CHECK_MILLIS, this::checkDrained);
        }
    }

    private void endOpenRequests() {
        if (state != State.CLOSED) {
            return;
        }
        for (Attempt attempt : List.copyOf(open)) {
            answer(attempt, endOutcome(attempt));
        }
        exit();
    }

    private Outcome endOutcome(Attempt attempt) {
        boolean waiting = attempt.stage == Attempt.Stage.WAITING;
        if (attempt.request.kind.streaming() && !waiting) {
            return Outcome.INTERRUPTED;
        }
        if (!fleet.rule().answersOpenRequests()) {
            return Outcome.CUT;
        }
        return waiting ? Outcome.REJECTED_BY_DRAIN : Outcome.UNKNOWN_AT_END;
    }

    private void exit() {
        state = State.DOWN;
        fleet.tally().addDrain(time.millis() - signalMillis);
        latencies.clear();
        time.schedule(DrainTimes.RESTART_MILLIS, () -> state = State.READY);
    }

    void receive(Attempt attempt) {
        ModelRequest request = attempt.request;
        attempt.receivedMillis = time.millis();
        attempt.runnerLimitMillis = request.deadlineMillis();
        open.add(attempt);
        if (state != State.READY) {
            double left = signalMillis + fleet.times().answerMillis() - time.millis();
            double budget = request.deadlineMillis() - time.millis();
            var offer = new DrainOffer(request.kind, budget, left, latencies(request.kind), fleet.readyNodes());
            if (!fleet.rule().accepts(offer)) {
                answer(attempt, Outcome.REJECTED_BY_DRAIN);
                return;
            }
            if (fleet.rule().answersOpenRequests()) {
                attempt.runnerLimitMillis = Math.min(request.deadlineMillis(), time.millis() + left);
            }
        }
        if (fleet.runners().isQueueFull()) {
            answer(attempt, Outcome.REJECTED_FULL);
            return;
        }
        fleet.runners().submit(attempt);
        if (attempt.stage == Attempt.Stage.WAITING) {
            time.schedule(MAX_WAIT_MILLIS, () -> {
                if (attempt.stage == Attempt.Stage.WAITING && !attempt.answered) {
                    answer(attempt, Outcome.REJECTED_FULL);
                }
            });
        }
        time.schedule(request.deadlineMillis() - time.millis(), () -> {
            if (!attempt.answered) {
                answer(attempt, attempt.stage == Attempt.Stage.WAITING ? Outcome.REJECTED_FULL : Outcome.TIMED_OUT);
            }
        });
    }

    void answer(Attempt attempt, Outcome outcome) {
        attempt.answered = true;
        open.remove(attempt);
        if (outcome == Outcome.SUCCESS) {
            latencies(attempt.request.kind).add(time.millis() - attempt.receivedMillis);
        } else if (attempt.stage == Attempt.Stage.WAITING) {
            fleet.runners().withdraw(attempt);
        } else if (attempt.stage == Attempt.Stage.RUNNING) {
            fleet.runners().cancel(attempt);
        }
        attempt.caller.handle(attempt, outcome);
    }

    private LatencyHistory latencies(RequestKind kind) {
        return latencies.computeIfAbsent(kind, each -> new LatencyHistory());
    }
}
