package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * Quota usage that nodes exchange: that of one node, or the sum of several.
 *
 * @param nodes number of nodes included
 * @param unobservedMillis part of the window before a node's start, summed over the nodes, ms; requests that a node
 *     admitted before its restart are unknown
 * @param teams usage by team name; teams without usage are omitted
 */
public record UsageReport(int nodes, int unobservedMillis, Map<String, TeamUsage> teams) {
    /** The report of no node. */
    public static final UsageReport NONE = new UsageReport(0, 0, Map.of());

    /** Copies the map. */
    public UsageReport {
        teams = Map.copyOf(teams);
    }

    /**
     * Adds two reports.
     *
     * @param other the report of other nodes
     * @return the sum
     */
    public UsageReport plus(UsageReport other) {
        return new UsageReport(
                nodes + other.nodes, unobservedMillis + other.unobservedMillis, mergeTeams(other, TeamUsage::plus));
    }

    /**
     * Subtracts the report of some of the nodes included.
     *
     * @param part the report to subtract
     * @return the difference; negative values become 0
     */
    public UsageReport minus(UsageReport part) {
        Map<String, TeamUsage> rest = new HashMap<>(teams);
        part.teams.forEach((team, use) -> rest.computeIfPresent(team, (same, all) -> all.minus(use)));
        rest.values().removeIf(TeamUsage::isNone);
        return new UsageReport(
                Math.max(0, nodes - part.nodes), Math.max(0, unobservedMillis - part.unobservedMillis), rest);
    }

    /** Returns this report with the component-wise maximum of the usage in both reports. */
    UsageReport max(UsageReport other) {
        return new UsageReport(nodes, unobservedMillis, mergeTeams(other, TeamUsage::max));
    }

    UsageReport scale(double share) {
        Map<String, TeamUsage> scaled = new HashMap<>();
        teams.forEach((team, use) -> scaled.put(team, use.scale(share)));
        return new UsageReport(nodes, unobservedMillis, scaled);
    }

    TeamUsage teamUsage(String team) {
        return teams.getOrDefault(team, TeamUsage.NONE);
    }

    private Map<String, TeamUsage> mergeTeams(UsageReport other, BinaryOperator<TeamUsage> combine) {
        if (other.teams.isEmpty()) {
            return teams;
        }
        Map<String, TeamUsage> merged = new HashMap<>(teams);
        other.teams.forEach((team, use) -> merged.merge(team, use, combine));
        return merged;
    }
}
