package org.parsleydrift.placement;

import java.time.Duration;

/**
 * Passive health state of one runner, derived from the outcome of its requests. A runner that cannot be reached, or
 * whose responses break off repeatedly, is suspended with exponential backoff.
 */
public final class RunnerHealth {
    private static final Duration FIRST_REST = Duration.ofMillis(200);
    private static final Duration LONGEST_REST = Duration.ofMillis(1600);
    /** Consecutive broken responses without suspension; healthy runners break off single ones. */
    private static final int BROKEN_ANSWERS_BORNE = 2;

    private int failures;
    private int brokenAnswers;
    private long restUntilNanos;
    private boolean resting;

    /** Resets the state after a complete response. */
    public void recordSuccess() {
        failures = 0;
        brokenAnswers = 0;
        resting = false;
    }

    /**
     * Suspends the runner after a failure to connect.
     *
     * @param nowNanos monotonic time, ns
     */
    public void recordConnectFailure(long nowNanos) {
        rest(nowNanos);
    }

    /**
     * Records a response that broke off or was malformed, and suspends the runner after several in a row.
     *
     * @param nowNanos monotonic time, ns
     */
    public void recordBrokenResponse(long nowNanos) {
        brokenAnswers++;
        if (brokenAnswers > BROKEN_ANSWERS_BORNE) {
            rest(nowNanos);
        }
    }

    /**
     * Returns whether the runner is in backoff.
     *
     * @param nowNanos monotonic time, ns
     * @return true until the backoff ends
     */
    public boolean isSuspended(long nowNanos) {
        return resting && restUntilNanos - nowNanos > 0;
    }

    private void rest(long nowNanos) {
        long span = FIRST_REST.toNanos() << Math.min(failures, 10);
        failures++;
        resting = true;
        restUntilNanos = nowNanos + Math.min(span, LONGEST_REST.toNanos());
    }
}
