package org.parsleydrift.relay;

import java.time.Duration;

/** Result of asking an {@link AdmissionPolicy}. */
sealed interface AdmissionDecision {
    /**
     * The request is queued.
     *
     * @param maxWait time after which it is rejected if it was not assigned
     */
    record Wait(Duration maxWait) implements AdmissionDecision {}

    /**
     * The request is rejected at once.
     *
     * @param reason reason for logs
     * @param retryDelay time after which the caller should come back
     */
    record Refuse(String reason, Duration retryDelay) implements AdmissionDecision {}
}
