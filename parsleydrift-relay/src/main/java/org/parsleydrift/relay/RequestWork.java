package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.WorkKey;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;

/** The work that a request asks for, and the runners at which it was left unfinished. */
final class RequestWork {
    private static final Logger LOG = System.getLogger(RequestWork.class.getName());

    private final Relay relay;
    private final CallerRequest request;
    private final RequestParameters parameters;
    private final Route route;
    private final String owner;
    private WorkKey key;
    private boolean attempted;

    /**
     * How far an attempt has come at a runner.
     *
     * @param runner the runner
     * @param attempt number of the attempt, from 1
     * @param headSeen whether the head of the response has arrived
     * @param events number of events forwarded to the caller
     */
    record Progress(Runner runner, int attempt, boolean headSeen, int events) {}

    RequestWork(Relay relay, CallerRequest request, RequestParameters parameters, Route route, String owner) {
        this.relay = relay;
        this.request = request;
        this.parameters = parameters;
        this.route = route;
        this.owner = owner;
    }

    /**
     * Returns whether no runner may run the work: so many count for it that it must not be sent to another one, and none of
     * those is known to be alive or being checked.
     *
     * @param runners returns the runners of the service that accept new requests
     */
    boolean isRejected(Supplier<List<Runner>> runners) {
        if (!isAtLimit()) {
            return false;
        }
        List<Runner> known = runners.get();
        return known.stream().noneMatch(this::accepts) && !relay.losses().checkAgain(key(), known);
    }

    /** Returns whether the work may be sent to a runner. */
    boolean accepts(Runner runner) {
        return !isAtLimit() || relay.losses().allowsAgain(key(), runner);
    }

    private boolean isAtLimit() {
        return relay.losses().hasWorkAtLimit() && relay.losses().isAtLimit(key());
    }

    /** Returns whether the work may be sent to another runner if the present one does not finish it. */
    boolean allowsAnother(Runner present) {
        return relay.losses().isEmpty() || relay.losses().allowsAnother(key(), present);
    }

    /** Records what the store VMs have told of earlier attempts as the turn began. */
    void recordStored(List<Grant> attempts) {
        attempted = !attempts.isEmpty() && relay.losses().recordStored(work(), attempts);
    }

    /** Returns whether a runner must be reserved before the work is sent to it. */
    boolean needsReservation(Runner runner) {
        return attempted || (!relay.losses().isEmpty() && relay.losses().needsReservation(key(), runner));
    }

    /** Reserves a runner for the work; completes with whether the work may be sent to it. */
    CompletableFuture<RunnerReservation> reserve(Runner runner) {
        return relay.losses().reserve(work(), runner);
    }

    /** Releases a runner that has not run the work; no effect unless it is reserved. */
    void release(Runner runner) {
        if (relay.losses().hasReservations()) {
            relay.losses().release(work(), runner);
        }
    }

    /** Records that a runner has completed the work. */
    void recordCompleted(Runner runner) {
        if (relay.losses().hasReservations() || !relay.losses().isEmpty()) {
            relay.losses().recordCompleted(work(), runner);
        }
    }

    /**
     * Records that the connection to a runner was lost before the end of its response.
     *
     * @param progress the attempt at the runner
     * @param reason how the connection was lost
     */
    void recordLost(Progress progress, String reason) {
        Runner runner = progress.runner();
        relay.metrics().recordRunnerLost(runner.service());
        relay.losses().recordLost(work(), runner);
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("runner_lost", progress).with("reason", reason).toString());
    }

    /**
     * Records that a response broke off or was unusable, though its connection was not lost.
     *
     * @param progress the attempt at the runner
     * @param reason what was wrong
     */
    void recordBroken(Progress progress, String reason) {
        relay.metrics().recordRunnerBroken(progress.runner().service());
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("runner_response_broken", progress)
                        .with("reason", reason)
                        .toString());
        relay.losses().recordBroken(work(), progress.runner());
    }

    /**
     * Records that an attempt was cancelled before the end of its response.
     *
     * @param progress the attempt at the runner
     * @param silence time since the runner was last heard in this attempt
     */
    void recordSilence(Progress progress, Duration silence) {
        relay.metrics().recordRunnerSilent(progress.runner().service());
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("runner_silent", progress)
                        .with("silent_ms", silence.toMillis())
                        .toString());
        relay.losses().recordSilence(work(), progress.runner(), silence);
    }

    private LogLine logLine(String event, Progress progress) {
        return LogLine.of(event)
                .with("request", parameters.id())
                .with("program", parameters.program())
                .with("route", route.name())
                .with("work", key())
                .with("target", request.target())
                .with("runner", progress.runner().incarnation())
                .with("offer", progress.attempt())
                .with("head", progress.headSeen())
                .with("events", progress.events());
    }

    private ProgramWork work() {
        return new ProgramWork(key(), parameters.program().isEmpty() ? "" : owner + parameters.program());
    }

    private WorkKey key() {
        if (key == null) {
            key = WorkKeys.of(owner, request, relay.headerNames());
        }
        return key;
    }
}
