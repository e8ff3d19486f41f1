package org.parsleydrift.placement.admission;

/**
 * Learned rate at which the slots of one service become free, from the requests of this node. Not thread-safe; confined
 * to one event loop.
 */
public final class DrainRate {
    /**
     * Records that a request of this node was assigned to a runner of the service.
     *
     * @param rank rank of the request
     * @param nowNanos current time, ns
     */
    public void recordAssigned(int rank, long nowNanos) {}

    /**
     * Records that a slot used by this node became free, for whatever reason.
     *
     * @param ran whether the runner ran the request; else the slot was not used and does not count as a completion
     * @param nowNanos current time, ns
     */
    public void recordReleased(boolean ran, long nowNanos) {}

    /**
     * Returns the predicted rate at which slots become free to a rank in the whole fleet: what is left by better ranks,
     * but at least the rank's floor.
     *
     * @param rank the rank
     * @param floorShare share of the assigned slots that each waiting rank gets
     * @param load requests at the runners of the service, of the whole fleet
     * @param slots slots of the service
     * @param nowNanos current time, ns
     * @return slots per second; 0 if no completion was ever seen
     */
    public double slotsPerSecond(int rank, double floorShare, int load, int slots, long nowNanos) {
        return 0;
    }
}
