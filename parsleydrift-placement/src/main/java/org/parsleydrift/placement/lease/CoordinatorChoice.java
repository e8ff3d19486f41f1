package org.parsleydrift.placement.lease;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleydrift.registry.RunnerKey;

/**
 * Chooses the coordinator of a runner by rendezvous hashing, so that nodes that know the same live nodes agree without
 * an election, and the end of a node moves only the runners that it coordinated.
 */
public final class CoordinatorChoice {
    private CoordinatorChoice() {}

    /**
     * Returns the node with the highest hash among those of the runner's zone, or among all if the zone has none.
     *
     * @param liveNodes availability zone of each live, ready node, by its name
     * @param zone availability zone of the runner
     * @param runner {@link RunnerKey} of the runner's incarnation
     * @return name of the coordinator; empty without live nodes
     */
    public static Optional<String> choose(Map<String, String> liveNodes, String zone, long runner) {
        Optional<String> local = highest(
                liveNodes.entrySet().stream()
                        .filter(each -> each.getValue().equals(zone))
                        .map(Map.Entry::getKey),
                runner);
        return local.isPresent() ? local : highest(liveNodes.keySet().stream(), runner);
    }

    private static Optional<String> highest(Stream<String> nodes, long runner) {
        String suffix = "/" + Long.toHexString(runner);
        return nodes.map(each -> new Scored(each, RunnerKey.of(each + suffix)))
                .max(Comparator.comparingLong(Scored::hash).thenComparing(Scored::node))
                .map(Scored::node);
    }

    private record Scored(String node, long hash) {}
}
