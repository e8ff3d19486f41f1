package org.parsleydrift.placement.speed;

/**
 * What this node has observed of one runner: the aged mean of the logarithms of its time factors. The mean of limited
 * logarithms is close to the median for the log-normal times of calls.
 */
final class SpeedEstimate {
    /** Time in which observations lose half their weight, ns; engines slow down for less than a second at a time. */
    static final long HALF_LIFE_NANOS = 2_000_000_000L;

    /** Limit of a single observation and of its reciprocal, so that one stalled response does not decide alone. */
    static final double MAX_RATIO = 4;

    /** Share of the earlier weight that remains after an observation that is slower than the spread explains. */
    private static final double RETAINED_AFTER_SLOW = 0.5;
    /** Spreads above the mean from which on an observation counts as unexplained. */
    private static final double UNEXPLAINED_SPREADS = 2;

    private double weight;
    private double sum;
    private long atNanos;

    /**
     * Adds an observation. Earlier ones lose half their weight to one that is slower than the spread explains, so that a
     * runner is distrusted faster than it is trusted again.
     */
    void add(double logFactor, double observationWeight, double spread, long nowNanos) {
        age(nowNanos);
        if (weight > 0 && logFactor - sum / weight > UNEXPLAINED_SPREADS * spread) {
            weight *= RETAINED_AFTER_SLOW;
            sum *= RETAINED_AFTER_SLOW;
        }
        weight += observationWeight;
        sum += observationWeight * limit(logFactor);
    }

    /** Returns the aged number of observations. */
    double weight(long nowNanos) {
        age(nowNanos);
        return weight;
    }

    /** Returns the sum of the logarithms of the observed factors, each with its aged weight. */
    double sum(long nowNanos) {
        age(nowNanos);
        return sum;
    }

    static double limit(double logFactor) {
        return Math.clamp(logFactor, -Math.log(MAX_RATIO), Math.log(MAX_RATIO));
    }

    private void age(long nowNanos) {
        if (nowNanos > atNanos) {
            double retained = Math.pow(0.5, (double) (nowNanos - atNanos) / HALF_LIFE_NANOS);
            weight *= retained;
            sum *= retained;
        }
        atNanos = nowNanos;
    }
}
