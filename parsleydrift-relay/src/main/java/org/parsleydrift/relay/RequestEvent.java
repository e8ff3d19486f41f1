package org.parsleydrift.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.registry.Runner;

/** What has happened to a request, as input of its {@link RequestLifecycle}. */
sealed interface RequestEvent {
    /** The node has no manifest yet, or does not know which runners its peers have lost. */
    record NotPrepared() implements RequestEvent {}

    /**
     * The wait for what the node has to know has ended without it.
     *
     * @param reason what is missing
     */
    record PreparationTimedOut(String reason) implements RequestEvent {}

    /** A manifest is in force, by which the request is being matched. */
    record MatchingBegun() implements RequestEvent {}

    /**
     * The manifest rejects the request for good.
     *
     * @param status HTTP status of the response
     * @param reason reason for logs and metrics
     */
    record MatchDenied(int status, String reason) implements RequestEvent {}

    /**
     * A manifest that may be outdated does not permit the request.
     *
     * @param reason reason for logs
     */
    record MatchUndetermined(String reason) implements RequestEvent {}

    /**
     * The request has a route.
     *
     * @param needsRecords whether the store VMs record it or hold the origin of the stream that it continues
     * @param quotaRetryDelay retry delay if the team's quota is exhausted already, else empty
     */
    record Matched(boolean needsRecords, Optional<Duration> quotaRetryDelay) implements RequestEvent {}

    /**
     * No runner can serve the stream: it continues one whose origin is unknown, or no runner of its software version is
     * left.
     *
     * @param reason reason for logs
     */
    record StreamUnservable(String reason) implements RequestEvent {}

    /** So many runners were lost under the work that it must not be sent to another one. */
    record WorkRejected() implements RequestEvent {}

    /**
     * The store VMs have answered, or did not in time.
     *
     * @param result the result
     */
    record TurnBegun(BeginResult result) implements RequestEvent {}

    /**
     * The team's quota was asked.
     *
     * @param decision the decision
     */
    record QuotaDecided(QuotaDecision decision) implements RequestEvent {}

    /** The request enters the queue for a runner. */
    record Admitted() implements RequestEvent {}

    /**
     * The admission policy rejects the request before it is queued.
     *
     * @param reason reason for logs
     * @param retryDelay time after which the caller should come back; sent without jitter
     */
    record AdmissionRefused(String reason, Duration retryDelay) implements RequestEvent {}

    /**
     * No team of the manifest in force owns the key of the request any more.
     *
     * @param manifestCurrent whether the manifest is known to be the latest
     */
    record KeyRevoked(boolean manifestCurrent) implements RequestEvent {}

    /**
     * The maximum wait in the queue is over.
     *
     * @param retryDelay time after which the caller should come back, sent without jitter; empty for the default
     */
    record QueueTimedOut(Optional<Duration> retryDelay) implements RequestEvent {}

    /** A runner was chosen, to which the request is being sent. */
    record Assigned() implements RequestEvent {}

    /**
     * The chosen runner may not be asked now, as too many runners might be lost under the work.
     *
     * @param reason reason for logs
     */
    record RunnerUnreserved(String reason) implements RequestEvent {}

    /**
     * The attempt at a runner certainly did not start the request.
     *
     * @param incarnation id of the runner's incarnation
     * @param reason reason for logs
     * @param runners runners of the service that accept new requests
     */
    record AttemptNotRun(String incarnation, String reason, List<Runner> runners) implements RequestEvent {}

    /**
     * A runner that may have started the request gives no response. Nothing was sent to the caller yet.
     *
     * @param incarnation id of the runner's incarnation
     * @param reason reason for logs
     * @param retryGranted whether the request can be sent again and the retry budget permits it
     */
    record AttemptUnknown(String incarnation, String reason, boolean retryGranted) implements RequestEvent {}

    /**
     * A complete response that is not a stream was sent to the caller.
     *
     * @param status HTTP status of the response
     */
    record ResponseForwarded(int status) implements RequestEvent {}

    /**
     * A stream broke off after its start.
     *
     * @param reason reason for logs and metrics
     */
    record StreamFailed(String reason) implements RequestEvent {}

    /** All events of a stream were forwarded; its turn is being committed. */
    record StreamCompleted() implements RequestEvent {}

    /** The turn of a complete stream is durable. */
    record TurnCommitted() implements RequestEvent {}

    /** The turn of a complete stream may not be durable. */
    record CommitFailed() implements RequestEvent {}

    /**
     * The deadline of the request has passed.
     *
     * @param streamBegun whether the head of an event stream was sent to the caller
     */
    record DeadlinePassed(boolean streamBegun) implements RequestEvent {}

    /** The process ends before the request was written to a runner; or it ends too soon for accepting the request. */
    record ProcessEnding() implements RequestEvent {}

    /**
     * The process ends while the request is at a runner.
     *
     * @param streamBegun whether the head of an event stream was sent to the caller
     */
    record AttemptInterrupted(boolean streamBegun) implements RequestEvent {}

    /** The caller has disconnected. */
    record CallerLeft() implements RequestEvent {}
}
