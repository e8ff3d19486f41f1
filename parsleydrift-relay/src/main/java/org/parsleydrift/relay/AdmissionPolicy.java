package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Optional;

/** Decides how long a request may wait in the queue, before it enters it. */
interface AdmissionPolicy {
    /** Admits every request for a bounded share of its remaining time. */
    AdmissionPolicy DEFAULT = new AdmissionPolicy() {
        @Override
        public AdmissionDecision decide(QueuedRequest request, long leftMillis) {
            Duration maxWait = Duration.ofMillis(
                    Math.min((long) (leftMillis * RelayLimits.MAX_QUEUE_SHARE), RelayLimits.MAX_QUEUE_WAIT.toMillis()));
            return new AdmissionDecision.Wait(maxWait, defaultCacheWait(maxWait));
        }

        @Override
        public Optional<Duration> retryDelayAfterWait(QueuedRequest request) {
            return Optional.empty();
        }
    };

    /**
     * Returns the usual wait for the runner that has cached a prompt. A longer wait for a free slot is not a longer wait
     * for the cached prompt, which can be computed again.
     *
     * @param maxWait maximum wait for any runner
     * @return the wait
     */
    static Duration defaultCacheWait(Duration maxWait) {
        long millis = Math.min(maxWait.toMillis(), RelayLimits.MAX_QUEUE_WAIT.toMillis());
        return Duration.ofMillis((long) (millis * RelayLimits.AFFINITY_SHARE));
    }

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
