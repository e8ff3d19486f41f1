package org.parsleydrift.relay;

import java.time.Duration;
import org.parsleydrift.conversation.BeginResult;

/** What to do next for a request, as decided by its {@link RequestLifecycle}. */
sealed interface RequestAction {
    /** Wait until the node knows what it has to know for placing requests. */
    record AwaitPreparation() implements RequestAction {}

    /** Begin the turn at the store VMs. */
    record BeginTurn() implements RequestAction {}

    /**
     * Put the history of the turn in front of the request's body.
     *
     * @param granted what the store VMs have returned
     */
    record AdoptHistory(BeginResult.Granted granted) implements RequestAction {}

    /** Charge the request to the quota of its team. */
    record AcquireQuota() implements RequestAction {}

    /** Queue the request for a runner, if its key is still valid and the admission policy permits it. */
    record Queue() implements RequestAction {}

    /** Withdraw the request from the queue. */
    record Withdraw() implements RequestAction {}

    /** Cancel the attempt at the runner. */
    record CancelAttempt() implements RequestAction {}

    /**
     * Report how the attempt at the runner has ended.
     *
     * @param end how it has ended
     */
    record ReportAttemptEnd(AttemptEnd end) implements RequestAction {}

    /** Charge the quota again, since the first attempt may have run as well. */
    record ChargeQuotaAgain() implements RequestAction {}

    /** Refund the latest charge against the quota. */
    record RefundQuota() implements RequestAction {}

    /** Release the token reservation at the store VMs. */
    record ReleaseReservation() implements RequestAction {}

    /**
     * Send a response without a body. Final except for {@link End}.
     *
     * @param status HTTP status
     */
    record Respond(int status) implements RequestAction {}

    /**
     * Send a response that reports the request as not run and says when to come back. Decided only if no runner can
     * have started the request or will.
     *
     * @param status HTTP status
     * @param retryDelay time after which the caller should come back
     * @param jitter whether the delay is increased at random, so that rejected callers do not come back in step
     */
    record RespondRetryLater(int status, Duration retryDelay, boolean jitter) implements RequestAction {}

    /** Complete the event stream. */
    record EndStream() implements RequestAction {}

    /** Abort the event stream, so that the caller recognizes it as incomplete. */
    record AbortStream() implements RequestAction {}

    /**
     * Cancel all timers and report the outcome. Always the last action.
     *
     * @param outcome outcome for logs and metrics
     * @param cause cause for logs and metrics
     */
    record End(String outcome, String cause) implements RequestAction {}
}
