package org.parsleydrift.placement.queue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.placement.SlidingWindowCounter;

/** Assignments of the last second at this node by service and team. Not thread-safe; confined to one event loop. */
public final class TeamShares {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final Map<String, Map<String, SlidingWindowCounter>> assigned = new HashMap<>();

    /**
     * Records the assignment of a request to a runner.
     *
     * @param service service of the runner
     * @param team team of the request
     * @param nowNanos current time, ns
     */
    public void recordAssigned(String service, String team, long nowNanos) {
        assigned.computeIfAbsent(service, any -> new HashMap<>())
                .computeIfAbsent(team, any -> new SlidingWindowCounter(WINDOW))
                .add(nowNanos, 1);
    }

    /**
     * Returns the teams that got less than their even share of the recent assignments of a service. The share is even
     * among the teams that wait or were assigned a runner recently.
     *
     * @param service the service
     * @param waitingTeams teams with waiting requests of the service
     * @param nowNanos current time, ns
     * @return those of the waiting teams that are below their share
     */
    public Set<String> belowShare(String service, Set<String> waitingTeams, long nowNanos) {
        Map<String, SlidingWindowCounter> teams = assigned.getOrDefault(service, Map.of());
        if (teams.isEmpty()) {
            return Set.of();
        }
        teams.values().removeIf(each -> each.sum(nowNanos) == 0);
        int total = teams.values().stream().mapToInt(each -> each.sum(nowNanos)).sum();
        long active = teams.size()
                + waitingTeams.stream().filter(each -> !teams.containsKey(each)).count();
        return waitingTeams.stream()
                .filter(each ->
                        !teams.containsKey(each) ? total > 0 : teams.get(each).sum(nowNanos) * active < total)
                .collect(Collectors.toSet());
    }
}
