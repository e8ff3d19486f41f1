package org.parsleydrift.placement.queue;

import java.util.Set;

/** Assignments of the last second at this node by service and team. Not thread-safe; confined to one event loop. */
public final class TeamShares {
    /**
     * Records the assignment of a request to a runner.
     *
     * @param service service of the runner
     * @param team team of the request
     * @param nowNanos current time, ns
     */
    public void recordAssigned(String service, String team, long nowNanos) {}

    /**
     * Returns the teams that got less than their even share of the recent assignments of a service.
     *
     * @param service the service
     * @param waitingTeams teams with waiting requests of the service
     * @param nowNanos current time, ns
     * @return those of the waiting teams that are below their share
     */
    public Set<String> belowShare(String service, Set<String> waitingTeams, long nowNanos) {
        return Set.of();
    }
}
