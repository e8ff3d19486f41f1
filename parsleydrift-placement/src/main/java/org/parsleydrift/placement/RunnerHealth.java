package org.parsleydrift.placement;

import java.time.Duration;

/**
 * Passive health state of one runner, derived from the outcome of its requests. A runner that cannot be reached, or
 * whose responses break off repeatedly, is suspended with exponential backoff.
 */
public final class RunnerHealth {
    /** Backoff after a first failure; a restart of a runner takes seconds. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
    /** Maximum backoff; with a longer one, a runner that has recovered would stand idle. */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1600);
    /** Consecutive broken responses without suspension; at healthy runners a few responses in a hundred break off. */
    private static final int TOLERATED_BROKEN_RESPONSES = 2;

    private int failures;
    private int brokenResponses;
    private long suspendedUntilNanos;
    private boolean suspended;

    /** Resets the state after a complete response. */
    public void recordSuccess() {
        failures = 0;
        brokenResponses = 0;
        suspended = false;
    }

    /**
     * Suspends the runner after a failure to connect.
     *
     * @param nowNanos monotonic time, ns
     */
    public void recordConnectFailure(long nowNanos) {
        suspend(nowNanos);
    }

    /**
     * Records a response that broke off or was malformed, and suspends the runner after several in a row.
     *
     * @param nowNanos monotonic time, ns
     */
    public void recordBrokenResponse(long nowNanos) {
        brokenResponses++;
        if (brokenResponses > TOLERATED_BROKEN_RESPONSES) {
            suspend(nowNanos);
        }
    }

    /**
     * Returns whether the runner is in backoff.
     *
     * @param nowNanos monotonic time, ns
     * @return true until the backoff ends
     */
    public boolean isSuspended(long nowNanos) {
        return suspended && suspendedUntilNanos - nowNanos > 0;
    }

    private void suspend(long nowNanos) {
        long backoffNanos = INITIAL_BACKOFF.toNanos() << Math.min(failures, 10);
        failures++;
        suspended = true;
        suspendedUntilNanos = nowNanos + Math.min(backoffNanos, MAX_BACKOFF.toNanos());
    }
}
