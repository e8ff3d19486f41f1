package org.parsleydrift.placement.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Loads of runners from the answers of coordinators. For a while they replace the loads that peers reported, which are
 * older than a turn lasts. Not thread-safe.
 */
public final class ExactLoads {
    /** Time for which an answer replaces the reports; about the duration of a turn, after which it tells no more. */
    static final Duration VALIDITY = Duration.ofMillis(150);

    private final Map<String, PeerLoad> peerLoads = new HashMap<>();

    /**
     * Records the load of a runner.
     *
     * @param incarnation id of the runner's incarnation
     * @param leases leases of all nodes at the runner
     * @param ownLoad requests of this node that the leases include
     * @param nowNanos monotonic time, ns
     */
    public void record(String incarnation, int leases, int ownLoad, long nowNanos) {
        peerLoads.put(incarnation, new PeerLoad(Math.max(0, leases - ownLoad), nowNanos + VALIDITY.toNanos()));
    }

    /**
     * Returns the load of a runner by other nodes.
     *
     * @param incarnation id of the runner's incarnation
     * @param reported the load that peers reported, requests
     * @param nowNanos monotonic time, ns
     * @return requests of other nodes; the reported ones without a recent answer
     */
    public int peerLoad(String incarnation, int reported, long nowNanos) {
        PeerLoad exact = peerLoads.get(incarnation);
        return exact != null && exact.endNanos() - nowNanos > 0 ? exact.load() : reported;
    }

    /**
     * Drops the loads of runners that are gone.
     *
     * @param incarnations ids of the incarnations that remain
     */
    public void retainRunners(Set<String> incarnations) {
        peerLoads.keySet().retainAll(incarnations);
    }

    private record PeerLoad(int load, long endNanos) {}
}
