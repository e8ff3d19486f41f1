package org.parsleydrift.placement.speed;

/**
 * What one or several nodes have learned of a runner's speed, as exchanged between nodes by the runner's key.
 *
 * @param count aged number of observations, in hundredths of an observation, since one node observes a runner less than
 *     once in a half-life
 * @param meanFactor mean time factor of the observations; 1.0 is typical of the service, 2.0 takes twice the time
 */
public record SpeedSum(int count, double meanFactor) {
    /** Units of {@link #count} per observation. */
    public static final int COUNTS_PER_OBSERVATION = 100;

    /** Limit of a valid count: over 1,000 observations per second of a runner during the whole retention. */
    private static final int MAX_COUNT = 100_000 * COUNTS_PER_OBSERVATION;
    /** Limit of a valid factor and of its reciprocal; observations are limited to less. */
    private static final double MAX_FACTOR = 100;

    /**
     * Returns whether the values are possible; a node ignores others.
     *
     * @return whether the count is positive and the factor finite and positive, both within their limits
     */
    public boolean isValid() {
        return count > 0 && count <= MAX_COUNT && meanFactor >= 1 / MAX_FACTOR && meanFactor <= MAX_FACTOR;
    }

    /**
     * Returns the sum of two valid sums of the same runner, as a hub reports it for its zone.
     *
     * @param other the other sum
     * @return the sum of the counts, at most the largest valid one, with the weighted mean of the factors
     */
    public SpeedSum merge(SpeedSum other) {
        long total = (long) count + other.count;
        double mean = (count * meanFactor + other.count * other.meanFactor) / total;
        return new SpeedSum((int) Math.min(MAX_COUNT, total), mean);
    }
}
