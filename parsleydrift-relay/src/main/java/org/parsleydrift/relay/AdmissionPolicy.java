package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Optional;

/** Decides how long a request may wait in the queue, before it enters it. */
interface AdmissionPolicy {
    /** Admits every request for a bounded share of its remaining time. */
    AdmissionPolicy DEFAULT = new AdmissionPolicy() {
        @Override
        public AdmissionDecision decide(QueuedRequest request, long leftMillis) {
            return new AdmissionDecision.Wait(Duration.ofMillis(Math.min(
                    (long) (leftMillis * RelayLimits.MAX_QUEUE_SHARE), RelayLimits.MAX_QUEUE_WAIT.toMillis())));
        }

        @Override
        public Optional<Duration> retryDelayAfterWait(QueuedRequest request) {
            return Optional.empty();
        }
    };

    /**
     * Decides on a request that is about to be queued.
     *
     * @param request the request
     * @param leftMillis time until its deadline, ms
     * @return the decision
     */
    AdmissionDecision decide(QueuedRequest request, long leftMillis);

    /**
     * Returns when the caller of a request should come back whose maximum wait is over.
     *
     * @param request the request, which is still queued
     * @return the delay; empty for the default
     */
    Optional<Duration> retryDelayAfterWait(QueuedRequest request);
}
