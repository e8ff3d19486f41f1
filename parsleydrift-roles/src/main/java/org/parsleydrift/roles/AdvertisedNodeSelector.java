package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Selects the ready nodes that are advertised to callers. In a large fleet the load is concentrated on as many nodes as
 * it needs, so that nodes reuse their connections to runners and depend less on the load reports of peers; the other
 * nodes are standbys. In a small fleet all ready nodes are advertised.
 *
 * <p>The load is the number of requests that all nodes have at runners. More nodes are advertised as soon as it rises,
 * fewer only after it has been lower for a while, since callers leave nodes that are no longer advertised.
 */
final class AdvertisedNodeSelector {
    /**
     * Concurrent requests per advertised node: some 50 requests per second, of which a small VM serves twice as many.
     */
    static final int REQUESTS_PER_NODE = 8;
    /**
     * At least the ready nodes divided by this number are advertised, which is enough when all callers reconnect at
     * once.
     */
    static final int MIN_NODES_DIVISOR = 3;
    /** How long the peak load is retained. */
    static final Duration PEAK_RETENTION = Duration.ofSeconds(5);

    private int peakRequests;
    private long peakNanos;

    /** Records the number of requests that all nodes have at runners, at a time in ns. */
    void recordLoad(int requests, long now) {
        if (requests >= peakRequests || now - peakNanos > PEAK_RETENTION.toNanos()) {
            peakRequests = requests;
            peakNanos = now;
        }
    }

    /**
     * Selects the nodes to advertise.
     *
     * @param ready all nodes that are ready
     * @return the same number of nodes of each availability zone, as far as it has them; the last ones by name, because
     *     the first ones serve as hubs and watch the platform
     */
    List<NodeIdentity> select(List<NodeIdentity> ready) {
        if (ready.size() <= MeshPlan.MAX_FULL_MESH_PEERS) {
            return ready;
        }
        TreeMap<String, List<NodeIdentity>> zones = ready.stream()
                .sorted(Comparator.comparing(NodeIdentity::name).reversed())
                .collect(Collectors.groupingBy(NodeIdentity::zone, TreeMap::new, Collectors.toList()));
        int nodeCount = Math.max(ceilDiv(ready.size(), MIN_NODES_DIVISOR), ceilDiv(peakRequests, REQUESTS_PER_NODE));
        int perZone = ceilDiv(nodeCount, zones.size());
        return zones.values().stream()
                .flatMap(each -> each.stream().limit(perZone))
                .toList();
    }

    private static int ceilDiv(int number, int divisor) {
        return (number + divisor - 1) / divisor;
    }
}
