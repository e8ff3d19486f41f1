package org.parsleydrift.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.parsleydrift.registry.RunnerKey;

/** Number of requests at each runner, of this node and, by their last reports, of its peers. */
final class RunnerLoads {
    private final Map<String, Integer> own = new HashMap<>();
    private final Map<String, Map<Long, Integer>> byPeer = new HashMap<>();
    private final Map<Long, Integer> peerTotals = new HashMap<>();
    private final Map<String, Long> runnerKeys = new HashMap<>();
    private long version;

    /** Returns a number that changes with every change of a load or of the known runners. */
    long version() {
        return version;
    }

    /** Returns this node's requests by the id of the runner's incarnation; runners without requests are omitted. */
    Map<String, Integer> own() {
        return Map.copyOf(own);
    }

    /** Returns the number of requests at all runners. */
    int total() {
        return Stream.concat(own.values().stream(), peerTotals.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Returns the number of this node's requests at a runner. */
    int ownAt(String incarnation) {
        return own.getOrDefault(incarnation, 0);
    }

    /** Returns the number of requests of all nodes at a runner. */
    int at(String incarnation) {
        return ownAt(incarnation) + peerTotals.getOrDefault(runnerKeys.computeIfAbsent(incarnation, RunnerKey::of), 0);
    }

    void add(String incarnation) {
        version++;
        own.merge(incarnation, 1, Integer::sum);
    }

    void remove(String incarnation) {
        version++;
        own.computeIfPresent(incarnation, (same, load) -> load <= 1 ? null : load - 1);
    }

    /** Replaces the loads of the given reporters by {@link RunnerKey}; empty for a reporter that is gone. */
    void updatePeers(Map<String, Map<Long, Integer>> loads) {
        version++;
        loads.forEach((node, load) -> {
            Map<Long, Integer> previous = byPeer.put(node, Map.copyOf(load));
            if (previous != null) {
                previous.forEach((runner, count) -> peerTotals.merge(runner, -count, Integer::sum));
            }
            load.forEach((runner, count) -> peerTotals.merge(runner, count, Integer::sum));
        });
    }

    /** Drops what is cached for other runners than the given ones. */
    void retainRunners(Set<String> incarnations) {
        version++;
        runnerKeys.keySet().retainAll(incarnations);
    }
}
