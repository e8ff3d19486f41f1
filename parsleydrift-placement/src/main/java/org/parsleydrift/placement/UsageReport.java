package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * What nodes tell each other of the use of allotments: of one node, or the sum of several.
 *
 * @param nodes the nodes whose use it holds
 * @param unobservedMillis the part of the window that lies before a node's start, summed over the nodes, ms: of that nobody
 *     knows any more what its former life let pass
 * @param teams use by the name of the team; teams without any are left out
 */
public record UsageReport(int nodes, int unobservedMillis, Map<String, TeamUsage> teams) {
    /** Of no node. */
    public static final UsageReport NONE = new UsageReport(0, 0, Map.of());

    /** Copies the map. */
    public UsageReport {
        teams = Map.copyOf(teams);
    }

    /**
     * Both together.
     *
     * @param other other nodes' report
     * @return the sum
     */
    public UsageReport plus(UsageReport other) {
        return new UsageReport(
                nodes + other.nodes, unobservedMillis + other.unobservedMillis, joined(other, TeamUsage::plus));
    }

    /**
     * The report without a part of its nodes.
     *
     * @param part what one of the nodes told
     * @return the rest
     */
    public UsageReport minus(UsageReport part) {
        Map<String, TeamUsage> rest = new HashMap<>(teams);
        part.teams.forEach((team, use) -> rest.computeIfPresent(team, (same, all) -> all.minus(use)));
        rest.values().removeIf(TeamUsage::isNone);
        return new UsageReport(
                Math.max(0, nodes - part.nodes), Math.max(0, unobservedMillis - part.unobservedMillis), rest);
    }

    /** The larger of each team's use in this report and in another one. */
    UsageReport most(UsageReport other) {
        return new UsageReport(nodes, unobservedMillis, joined(other, TeamUsage::most));
    }

    /** A share of each team's use. */
    UsageReport times(double share) {
        Map<String, TeamUsage> scaled = new HashMap<>();
        teams.forEach((team, use) -> scaled.put(team, use.times(share)));
        return new UsageReport(nodes, unobservedMillis, scaled);
    }

    TeamUsage of(String team) {
        return teams.getOrDefault(team, TeamUsage.NONE);
    }

    private Map<String, TeamUsage> joined(UsageReport other, BinaryOperator<TeamUsage> join) {
        if (other.teams.isEmpty()) {
            return teams;
        }
        Map<String, TeamUsage> both = new HashMap<>(teams);
        other.teams.forEach((team, use) -> both.merge(team, use, join));
        return both;
    }
}
