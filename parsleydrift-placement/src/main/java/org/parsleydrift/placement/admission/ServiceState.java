package org.parsleydrift.placement.admission;

import java.util.Map;

/**
 * State of a service as a node knows it, at the time of one decision.
 *
 * @param slots slots of all runners of the service that accept requests
 * @param load requests at these runners, of this node and, by their last reports, of its peers
 * @param bestRank smallest rank that the manifest permits for the service
 * @param ownWaiting requests waiting at this node by rank, without the one to be decided
 * @param peersWaiting requests waiting at the peers by rank, by their last reports; empty if the peers are silent
 * @param slotsPerSecond rate at which slots of the service become free to the rank of the request in the whole fleet,
 *     from {@link DrainRate#slotsPerSecond}; 0 if unknown
 * @param ownShare this node's share of the fleet's requests, over 0 to 1; its returning programs get that share of the
 *     rate
 */
public record ServiceState(
        int slots,
        int load,
        int bestRank,
        Map<Integer, Integer> ownWaiting,
        Map<Integer, Integer> peersWaiting,
        double slotsPerSecond,
        double ownShare) {
    /** Copies the maps. */
    public ServiceState {
        ownWaiting = Map.copyOf(ownWaiting);
        peersWaiting = Map.copyOf(peersWaiting);
    }

    /**
     * Returns whether any request waits for the service, at this node or a peer.
     *
     * @return true if one waits
     */
    public boolean anyWaiting() {
        return waitingUpTo(Integer.MAX_VALUE) > 0;
    }

    /**
     * Returns the number of requests that wait in the fleet.
     *
     * @param rank the largest rank that counts
     * @return number of requests of this and all better ranks
     */
    public int waitingUpTo(int rank) {
        return sumUpTo(ownWaiting, rank) + sumUpTo(peersWaiting, rank);
    }

    static int sumUpTo(Map<Integer, Integer> waiting, int rank) {
        return waiting.entrySet().stream()
                .filter(each -> each.getKey() <= rank)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }
}
