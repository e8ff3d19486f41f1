package org.parsleydrift.placement;

import java.time.Duration;

/**
 * What answers say of one runner. A runner that can't be reached, or breaks off its answers, is left alone for a time
 * that grows with each failure in a row, and tried again with one request; health checks alone may be wrong.
 */
public final class RunnerHealth {
    /** Left alone after a first failure; a restart of a runner takes seconds. */
    private static final Duration FIRST_REST = Duration.ofMillis(200);
    /** Left alone at most; longer, and a runner that is well again would stand idle. */
    private static final Duration LONGEST_REST = Duration.ofMillis(1600);
    /** Broken answers in a row that are put down to chance: a few in a hundred break off at runners that are well. */
    private static final int BROKEN_ANSWERS_BORNE = 2;

    private int failures;
    private int brokenAnswers;
    private long restUntilNanos;
    private boolean resting;

    /** An answer came whole. */
    public void recordSuccess() {
        failures = 0;
        brokenAnswers = 0;
        resting = false;
    }

    /**
     * No connection could be made.
     *
     * @param nowNanos the time
     */
    public void recordConnectFailure(long nowNanos) {
        rest(nowNanos);
    }

    /**
     * An answer broke off or made no sense.
     *
     * @param nowNanos the time
     */
    public void recordBrokenResponse(long nowNanos) {
        brokenAnswers++;
        if (brokenAnswers > BROKEN_ANSWERS_BORNE) {
            rest(nowNanos);
        }
    }

    /**
     * Whether it is left alone now.
     *
     * @param nowNanos the time
     * @return whether it is
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
