package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * Quota usage that nodes exchange: that of one node, or the sum of several.
 *
 * @param nodes number of nodes included
 * @param unseenMillis part of the window before a node's start, summed over the nodes, ms; requests that a node
 *     admitted before its restart are unknown
 * @param teams usage by team name; teams without usage are omitted
 */
public record UseReport(int nodes, int unseenMillis, Map<String, TeamUse> teams) {
    /** The report of no node. */
    public static final UseReport NONE = new UseReport(0, 0, Map.of());

    /** Copies the map. */
    public UseReport {
        teams = Map.copyOf(teams);
    }

    /**
     * Adds two reports.
     *
     * @param other the report of other nodes
     * @return the sum
     */
    public UseReport plus(UseReport other) {
        return new UseReport(nodes + other.nodes, unseenMillis + other.unseenMillis, joined(other, TeamUse::plus));
    }

    /**
     * Subtracts the report of some of the nodes included.
     *
     * @param part the report to subtract
     * @return the difference; negative values become 0
     */
    public UseReport minus(UseReport part) {
        Map<String, TeamUse> rest = new HashMap<>(teams);
        part.teams.forEach((team, use) -> rest.computeIfPresent(team, (same, all) -> all.minus(use)));
        rest.values().removeIf(TeamUse::isNone);
        return new UseReport(Math.max(0, nodes - part.nodes), Math.max(0, unseenMillis - part.unseenMillis), rest);
    }

    /** Returns this report with the component-wise maximum of the usage in both reports. */
    UseReport most(UseReport other) {
        return new UseReport(nodes, unseenMillis, joined(other, TeamUse::most));
    }

    UseReport times(double share) {
        Map<String, TeamUse> scaled = new HashMap<>();
        teams.forEach((team, use) -> scaled.put(team, use.times(share)));
        return new UseReport(nodes, unseenMillis, scaled);
    }

    TeamUse of(String team) {
        return teams.getOrDefault(team, TeamUse.NONE);
    }

    private Map<String, TeamUse> joined(UseReport other, BinaryOperator<TeamUse> join) {
        if (other.teams.isEmpty()) {
            return teams;
        }
        Map<String, TeamUse> both = new HashMap<>(teams);
        other.teams.forEach((team, use) -> both.merge(team, use, join));
        return both;
    }
}
