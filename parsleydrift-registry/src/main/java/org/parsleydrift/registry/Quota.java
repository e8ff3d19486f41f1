package org.parsleydrift.registry;

/**
 * Limit on the requests of a team, counted over all nodes together.
 *
 * @param ratePerSecond requests per second; 0 for no limit
 * @param burst requests allowed on top of the rate in any window
 */
public record Quota(double ratePerSecond, double burst) {
    /** No limit. */
    public static final Quota UNLIMITED = new Quota(0, 0);

    /**
     * Whether a limit is set.
     *
     * @return true if the requests of the team must be counted
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Returns the number of requests allowed in a window.
     *
     * @param windowSeconds length of the window, s
     * @return rate times window plus burst; meaningless without a limit
     */
    public double maxRequests(double windowSeconds) {
        return ratePerSecond * windowSeconds + burst;
    }
}
