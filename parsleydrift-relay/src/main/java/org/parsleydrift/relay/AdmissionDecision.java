package org.parsleydrift.relay;

import java.time.Duration;

/** Result of asking an {@link AdmissionPolicy}. */
sealed interface AdmissionDecision {
    /**
     * The request is queued.
     *
     * @param maxWait time after which it is rejected if it was not assigned
     * @param cacheWait time for which it waits for the runner that has cached its prompt; then any free runner will do
     */
    record Wait(Duration maxWait, Duration cacheWait) implements AdmissionDecision {}

    /**
     * The request is rejected at once.
     *
     * @param reason reason for logs
     * @param retryDelay time after which the caller should come back
     */
    record Refuse(String reason, Duration retryDelay) implements AdmissionDecision {}
}
