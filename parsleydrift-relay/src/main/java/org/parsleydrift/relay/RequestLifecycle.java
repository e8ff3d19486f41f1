package org.parsleydrift.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.registry.Runner;

/**
 * State machine of one request, without I/O, time and randomness: takes events and returns the actions to do next, in
 * order. Its states are the values of {@link RequestStage}. A request has one of three outcomes: <i>not run</i>,
 * reported only if no runner can have started it; the response of a runner; else <i>unknown</i>.
 *
 * <p>An event that does not apply to the present state, such as a timeout of a wait that has ended, has no effect.
 */
final class RequestLifecycle {
    /** Outcome of a request whose response is complete. */
    static final String ANSWERED = "answered";
    /** Outcome of a request that was rejected as not run and can be sent again. */
    static final String REFUSED = "refused";
    /** Outcome of a request that may have run. */
    static final String UNKNOWN = "unknown";

    private static final String DENIED = "denied";
    private static final String TIMEOUT = "timeout";
    private static final String RUNNERS_LOST = "too many runners were lost under the same work";
    private static final String QUOTA_EXHAUSTED = "team quota exhausted";
    private static final String PROCESS_ENDS = "process ends";

    private final Attempts attempts = new Attempts();
    private RequestStage stage = RequestStage.MATCHING;

    RequestStage stage() {
        return stage;
    }

    /** Returns the attempts so far; recorded by this class only. */
    Attempts attempts() {
        return attempts;
    }

    /**
     * Returns whether the request, which is at a runner, may be sent to another one even if the first has run it.
     *
     * @param maxAttempts limit of the route
     * @param incarnation id of the present runner's incarnation
     * @param runners runners of the service that accept new requests
     */
    boolean allowsRetry(int maxAttempts, String incarnation, List<Runner> runners) {
        return attempts.allowsRetry(maxAttempts)
                && attempts.hasUntried(runners.stream()
                        .filter(each -> !incarnation.equals(each.incarnation()))
                        .toList());
    }

    /** Applies an event and returns the actions to do next, in order. */
    List<RequestAction> apply(RequestEvent event) {
        return switch (event) {
            case RequestEvent.NotPrepared ignored -> {
                stage = RequestStage.AWAITING_PREPARATION;
                yield List.of(new RequestAction.AwaitPreparation());
            }
            case RequestEvent.PreparationTimedOut timedOut ->
                in(RequestStage.AWAITING_PREPARATION)
                        ? refuse(timedOut.reason(), RelayLimits.RETRY_DELAY_NOT_PREPARED)
                        : List.of();
            case RequestEvent.MatchingBegun ignored -> {
                stage = RequestStage.MATCHING;
                yield List.of();
            }
            case RequestEvent.MatchDenied denied -> respond(denied.status(), DENIED, denied.reason());
            case RequestEvent.MatchUndetermined result -> refuse(result.reason(), RelayLimits.RETRY_DELAY_OLD_MANIFEST);
            case RequestEvent.Matched matched -> handleMatch(matched);
            case RequestEvent.StreamUnservable unservable -> handleUnservable(unservable.reason());
            case RequestEvent.WorkRejected ignored -> handleRejectedWork();
            case RequestEvent.TurnBegun begun -> handleBegin(begun.result());
            case RequestEvent.QuotaDecided decided -> handleQuota(decided.decision());
            case RequestEvent.Admitted ignored -> {
                stage = RequestStage.QUEUED;
                yield List.of();
            }
            case RequestEvent.AdmissionRefused refused -> handleRefusal(refused);
            case RequestEvent.KeyRevoked revoked -> handleRevokedKey(revoked.manifestCurrent());
            case RequestEvent.QueueTimedOut timedOut -> handleQueueTimeout(timedOut.retryDelay());
            case RequestEvent.Assigned ignored -> {
                stage = RequestStage.ASSIGNED;
                attempts.recordAttempt();
                yield List.of();
            }
            case RequestEvent.RunnerUnreserved unreserved -> handleUnreserved(unreserved.reason());
            case RequestEvent.AttemptNotRun notRun -> handleNotRun(notRun);
            case RequestEvent.AttemptUnknown unknown -> handleUnknown(unknown);
            case RequestEvent.ResponseForwarded response ->
                in(RequestStage.ASSIGNED)
                        ? after(
                                new RequestAction.ReportAttemptEnd(AttemptEnd.COMPLETE),
                                end(ANSWERED, String.valueOf(response.status())))
                        : List.of();
            case RequestEvent.StreamFailed failed ->
                in(RequestStage.ASSIGNED)
                        ? after(new RequestAction.ReportAttemptEnd(AttemptEnd.INCOMPLETE), abortStream(failed.reason()))
                        : List.of();
            case RequestEvent.StreamCompleted ignored -> {
                stage = RequestStage.COMMITTING;
                yield List.of(new RequestAction.ReportAttemptEnd(AttemptEnd.COMPLETE));
            }
            case RequestEvent.TurnCommitted ignored ->
                in(RequestStage.COMMITTING) ? end(ANSWERED, "stream", new RequestAction.EndStream()) : List.of();
            case RequestEvent.CommitFailed ignored ->
                in(RequestStage.COMMITTING) ? abortStream("commit_failed") : List.of();
            case RequestEvent.DeadlinePassed passed -> handleDeadline(passed.streamBegun());
            case RequestEvent.ProcessEnding ignored -> handleProcessEnding();
            case RequestEvent.AttemptInterrupted interrupted -> handleInterruption(interrupted.streamBegun());
            case RequestEvent.CallerLeft ignored -> handleDisconnect();
        };
    }

    private boolean in(RequestStage expected) {
        return stage == expected;
    }

    private List<RequestAction> handleMatch(RequestEvent.Matched matched) {
        if (matched.quotaRetryDelay().isPresent()) {
            return refuse(429, QUOTA_EXHAUSTED, matched.quotaRetryDelay().get(), true);
        }
        if (matched.needsRecords()) {
            stage = RequestStage.BEGINNING;
            return List.of(new RequestAction.BeginTurn());
        }
        stage = RequestStage.ACQUIRING_QUOTA;
        return List.of(new RequestAction.AcquireQuota());
    }

    private List<RequestAction> handleBegin(BeginResult result) {
        if (stage != RequestStage.BEGINNING) {
            return List.of(new RequestAction.ReleaseReservation());
        }
        return switch (result) {
            case BeginResult.Granted granted -> {
                stage = RequestStage.ACQUIRING_QUOTA;
                yield List.of(new RequestAction.AdoptHistory(granted), new RequestAction.AcquireQuota());
            }
            case BeginResult.BudgetSpent ignored -> respond(402, DENIED, "budget_spent");
            case BeginResult.NoSuchTurn ignored -> respond(404, DENIED, "no_such_turn");
            case BeginResult.Unavailable unavailable ->
                refuse("store VMs unavailable: " + unavailable.reason(), RelayLimits.RETRY_DELAY_NO_STORES);
        };
    }

    /** A charge that is granted after the request has ended is reverted. */
    private List<RequestAction> handleQuota(QuotaDecision decision) {
        if (stage != RequestStage.ACQUIRING_QUOTA) {
            return List.of(new RequestAction.RefundQuota());
        }
        return switch (decision) {
            case QuotaDecision.Allowed ignored -> List.of(new RequestAction.Queue());
            case QuotaDecision.Exceeded exceeded -> refuse(429, QUOTA_EXHAUSTED, exceeded.retryAfter(), true);
            case QuotaDecision.Undetermined ignored ->
                refuse("no node could decide on the team's quota", RelayLimits.RETRY_DELAY_NO_PEERS);
        };
    }

    private List<RequestAction> handleRefusal(RequestEvent.AdmissionRefused refused) {
        return attempts.mayHaveRun()
                ? respond(502, UNKNOWN, "an earlier attempt may have run; " + refused.reason())
                : refuse(503, refused.reason(), refused.retryDelay(), false);
    }

    /** Ends a request whose key was revoked; a manifest that may be outdated does not prove the revocation. */
    private List<RequestAction> handleRevokedKey(boolean manifestCurrent) {
        Stream<RequestAction> withdrawal =
                in(RequestStage.QUEUED) ? Stream.of(new RequestAction.Withdraw()) : Stream.empty();
        List<RequestAction> ending;
        if (attempts.mayHaveRun()) {
            ending = respond(502, UNKNOWN, "an earlier attempt may have run; key revoked");
        } else if (manifestCurrent) {
            ending = end(DENIED, "key_taken_away", new RequestAction.RefundQuota(), new RequestAction.Respond(401));
        } else {
            ending = refuse("key missing in a manifest that may be outdated", RelayLimits.RETRY_DELAY_OLD_MANIFEST);
        }
        return Stream.concat(withdrawal, ending.stream()).toList();
    }

    /** Ends a request that must not be sent to another runner. There is no time at which the caller should return. */
    private List<RequestAction> handleRejectedWork() {
        if (in(RequestStage.ENDED)) {
            return List.of();
        }
        Stream<RequestAction> withdrawal =
                in(RequestStage.QUEUED) ? Stream.of(new RequestAction.Withdraw()) : Stream.empty();
        List<RequestAction> ending = attempts.mayHaveRun()
                ? respond(502, UNKNOWN, "an earlier attempt may have run; " + RUNNERS_LOST)
                : end(
                        REFUSED,
                        RUNNERS_LOST,
                        new RequestAction.Respond(503),
                        new RequestAction.ReleaseReservation(),
                        new RequestAction.RefundQuota());
        return Stream.concat(withdrawal, ending.stream()).toList();
    }

    private List<RequestAction> handleUnservable(String reason) {
        if (in(RequestStage.ENDED)) {
            return List.of();
        }
        Stream<RequestAction> withdrawal =
                in(RequestStage.QUEUED) ? Stream.of(new RequestAction.Withdraw()) : Stream.empty();
        List<RequestAction> ending = attempts.mayHaveRun()
                ? respond(502, UNKNOWN, "an earlier attempt may have run; " + reason)
                : refuse(reason, RelayLimits.RETRY_DELAY_RESUMPTION);
        return Stream.concat(withdrawal, ending.stream()).toList();
    }

    private List<RequestAction> handleQueueTimeout(Optional<Duration> retryDelay) {
        if (stage != RequestStage.QUEUED) {
            return List.of();
        }
        return after(
                new RequestAction.Withdraw(),
                attempts.mayHaveRun()
                        ? respond(502, UNKNOWN, "an earlier attempt may have run; no other runner had a free slot")
                        : refuse(
                                503,
                                "no runner had a free slot",
                                retryDelay.orElse(RelayLimits.RETRY_DELAY_NO_SLOT),
                                retryDelay.isEmpty()));
    }

    private List<RequestAction> handleNotRun(RequestEvent.AttemptNotRun notRun) {
        if (stage != RequestStage.ASSIGNED) {
            return List.of();
        }
        attempts.recordNotRun(notRun.incarnation());
        RequestAction report = new RequestAction.ReportAttemptEnd(AttemptEnd.NOT_RUN);
        if (attempts.canTryAnother(notRun.runners())) {
            return List.of(report, new RequestAction.Queue());
        }
        // "Not executed" by this runner says nothing about an earlier one, which may have run the request.
        return after(
                report,
                attempts.mayHaveRun()
                        ? respond(502, UNKNOWN, "an earlier attempt may have run; " + notRun.reason())
                        : refuse(notRun.reason(), RelayLimits.RETRY_DELAY_NO_SLOT));
    }

    private List<RequestAction> handleUnreserved(String reason) {
        if (stage != RequestStage.ASSIGNED) {
            return List.of();
        }
        return after(
                new RequestAction.ReportAttemptEnd(AttemptEnd.NOT_RUN),
                attempts.mayHaveRun()
                        ? respond(502, UNKNOWN, "an earlier attempt may have run; " + reason)
                        : refuse(reason, RelayLimits.RETRY_DELAY_UNRESERVED));
    }

    private List<RequestAction> handleUnknown(RequestEvent.AttemptUnknown unknown) {
        if (stage != RequestStage.ASSIGNED) {
            return List.of();
        }
        attempts.recordPossibleRun(unknown.incarnation());
        return after(
                new RequestAction.ReportAttemptEnd(AttemptEnd.INCOMPLETE),
                unknown.retryGranted()
                        ? List.of(new RequestAction.ChargeQuotaAgain(), new RequestAction.Queue())
                        : respond(502, UNKNOWN, unknown.reason()));
    }

    private List<RequestAction> handleDeadline(boolean streamBegun) {
        return switch (stage) {
            case ENDED, AWAITING_PREPARATION, MATCHING -> List.of();
            case BEGINNING -> refuse("deadline passed before the turn began", RelayLimits.RETRY_DELAY_NO_STORES);
            case ACQUIRING_QUOTA ->
                refuse("deadline passed before the quota was decided", RelayLimits.RETRY_DELAY_NO_PEERS);
            case QUEUED ->
                after(
                        new RequestAction.Withdraw(),
                        attempts.mayHaveRun()
                                ? respond(504, TIMEOUT, "after an unknown try")
                                : refuse(
                                        "deadline passed while waiting for a runner", RelayLimits.RETRY_DELAY_NO_SLOT));
            case ASSIGNED ->
                afterCancellation(streamBegun ? abortStream(TIMEOUT) : respond(504, TIMEOUT, "at the runner"));
            case COMMITTING -> abortStream(TIMEOUT);
        };
    }

    /**
     * Ends a request that is not at a runner as the process ends. Its caller can be served by another node at once. A turn
     * that is being committed goes on.
     */
    private List<RequestAction> handleProcessEnding() {
        return switch (stage) {
            case ENDED, COMMITTING -> List.of();
            case AWAITING_PREPARATION, MATCHING, BEGINNING, ACQUIRING_QUOTA ->
                refuse(PROCESS_ENDS, RelayLimits.RETRY_DELAY_PROCESS_ENDS);
            case QUEUED -> after(new RequestAction.Withdraw(), endUnsent());
            case ASSIGNED ->
                after(
                        new RequestAction.CancelAttempt(),
                        after(new RequestAction.ReportAttemptEnd(AttemptEnd.NOT_RUN), endUnsent()));
        };
    }

    /** Ends a request that is at a runner as the process ends. */
    private List<RequestAction> handleInterruption(boolean streamBegun) {
        if (stage != RequestStage.ASSIGNED) {
            return List.of();
        }
        return afterCancellation(
                streamBegun
                        ? abortStream(PROCESS_ENDS)
                        : respond(502, UNKNOWN, PROCESS_ENDS + " before the runner's response"));
    }

    private List<RequestAction> endUnsent() {
        return attempts.mayHaveRun()
                ? respond(502, UNKNOWN, "an earlier attempt may have run; " + PROCESS_ENDS)
                : refuse(PROCESS_ENDS, RelayLimits.RETRY_DELAY_PROCESS_ENDS);
    }

    /** Cancels the request after its caller has disconnected; a turn that is being committed is completed. */
    private List<RequestAction> handleDisconnect() {
        return switch (stage) {
            case ENDED, COMMITTING -> List.of();
            case ASSIGNED ->
                end(
                        "caller_left",
                        "after_offer",
                        new RequestAction.CancelAttempt(),
                        new RequestAction.ReportAttemptEnd(AttemptEnd.INCOMPLETE));
            case AWAITING_PREPARATION, MATCHING, BEGINNING, ACQUIRING_QUOTA, QUEUED -> handleDisconnectWhileWaiting();
        };
    }

    /** Only the charge of the attempt that is not made is given back if an earlier one may have run. */
    private List<RequestAction> handleDisconnectWhileWaiting() {
        return attempts.mayHaveRun()
                ? end("caller_left", "after_offer", new RequestAction.Withdraw(), new RequestAction.RefundQuota())
                : end(
                        "caller_left",
                        "before_offer",
                        new RequestAction.Withdraw(),
                        new RequestAction.ReleaseReservation(),
                        new RequestAction.RefundQuota());
    }

    /** Rejects the request as not run; only if no runner can have started it or will. */
    private List<RequestAction> refuse(String reason, Duration retryDelay) {
        return refuse(503, reason, retryDelay, true);
    }

    private List<RequestAction> refuse(int status, String reason, Duration retryDelay, boolean jitter) {
        return end(
                REFUSED,
                reason,
                new RequestAction.RespondRetryLater(status, retryDelay, jitter),
                new RequestAction.ReleaseReservation(),
                new RequestAction.RefundQuota());
    }

    private List<RequestAction> respond(int status, String outcome, String reason) {
        return end(outcome, reason, new RequestAction.Respond(status));
    }

    private List<RequestAction> abortStream(String reason) {
        return end("stream_cut", reason, new RequestAction.AbortStream());
    }

    private List<RequestAction> end(String outcome, String cause, RequestAction... before) {
        stage = RequestStage.ENDED;
        return Stream.concat(Stream.of(before), Stream.of(new RequestAction.End(outcome, cause)))
                .toList();
    }

    private static List<RequestAction> afterCancellation(List<RequestAction> others) {
        return after(
                new RequestAction.CancelAttempt(),
                after(new RequestAction.ReportAttemptEnd(AttemptEnd.INCOMPLETE), others));
    }

    private static List<RequestAction> after(RequestAction first, List<RequestAction> others) {
        return Stream.concat(Stream.of(first), others.stream()).toList();
    }
}
