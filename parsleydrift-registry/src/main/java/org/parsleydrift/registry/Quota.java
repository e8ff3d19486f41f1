package org.parsleydrift.registry;

/**
 * How many requests of a team may run, over all nodes together.
 *
 * @param ratePerSecond requests a second; 0 for no limit
 * @param burst requests on top of the rate in any window
 */
public record Quota(double ratePerSecond, double burst) {
    /** No limit. */
    public static final Quota UNLIMITED = new Quota(0, 0);

    /**
     * Whether there is a limit at all.
     *
     * @return true if requests of the team are to be counted
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Requests that may run in a window.
     *
     * @param windowSeconds the length of the window, s
     * @return requests
     */
    public double maxRequests(double windowSeconds) {
        return ratePerSecond * windowSeconds + burst;
    }
}
