package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Over how many ready nodes callers are spread. Load pattern: a large fleet in which each node sees a few requests a second,
 * never gets warm, finds no kept connection to a runner, and decides by what it hears of all others. So callers are told of
 * as many nodes as the load needs, and the others stand by. A small fleet is told whole.
 *
 * <p>The load is what all nodes have at runners, which grows when nodes become slow as well as when more is asked. More nodes
 * are named at once, fewer only after the load was less for a while: callers leave nodes that are named no more.
 */
final class CallerSpread {
    /** Requests at runners for each named node: some 50 a second, of which a small VM serves twice as many. */
    static final int REQUESTS_PER_NODE = 8;
    /** One part in so many of the ready nodes is named at least: as many as callers need that all come back at once. */
    static final int LEAST_SHARE = 3;
    /** A load counts for this long. */
    static final Duration HELD = Duration.ofSeconds(5);

    private int held;
    private long heldNanos;

    /** Notes the requests that all nodes have at runners. */
    void load(int requests, long now) {
        if (requests >= held || now - heldNanos > HELD.toNanos()) {
            held = requests;
            heldNanos = now;
        }
    }

    /**
     * The nodes to name.
     *
     * @param ready all nodes that are ready
     * @return as many of each availability zone; the last ones by name, since the first ones act as hubs and watch
     */
    List<NodeIdentity> named(List<NodeIdentity> ready) {
        if (ready.size() <= MeshPlan.DIRECT_PEERS) {
            return ready;
        }
        TreeMap<String, List<NodeIdentity>> zones = ready.stream()
                .sorted(Comparator.comparing(NodeIdentity::name).reversed())
                .collect(Collectors.groupingBy(NodeIdentity::zone, TreeMap::new, Collectors.toList()));
        int wanted = Math.max(roundedUp(ready.size(), LEAST_SHARE), roundedUp(held, REQUESTS_PER_NODE));
        int perZone = roundedUp(wanted, zones.size());
        return zones.values().stream()
                .flatMap(each -> each.stream().limit(perZone))
                .toList();
    }

    private static int roundedUp(int number, int divisor) {
        return (number + divisor - 1) / divisor;
    }
}
