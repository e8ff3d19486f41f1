package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * What nodes tell each other of the use of allotments: of one node, or the sum of several.
 *
 * @param nodes the nodes whose use it holds
 * @param unseenMillis the part of the window that lies before a node's start, summed over the nodes, ms: of that nobody
 *     knows any more what its former life let pass
 * @param teams use by the name of the team; teams without any are left out
 */
public record UseReport(int nodes, int unseenMillis, Map<String, TeamUse> teams) {
    /** Of no node. */
    public static final UseReport NONE = new UseReport(0, 0, Map.of());

    /** Copies the map. */
    public UseReport {
        teams = Map.copyOf(teams);
    }

    /**
     * Both together.
     *
     * @param other other nodes' report
     * @return the sum
     */
    public UseReport plus(UseReport other) {
        return new UseReport(nodes + other.nodes, unseenMillis + other.unseenMillis, joined(other, TeamUse::plus));
    }

    /**
     * The report without a part of its nodes.
     *
     * @param part what one of the nodes told
     * @return the rest
     */
    public UseReport minus(UseReport part) {
        Map<String, TeamUse> rest = new HashMap<>(teams);
        part.teams.forEach((team, use) -> rest.computeIfPresent(team, (same, all) -> all.minus(use)));
        rest.values().removeIf(TeamUse::isNone);
        return new UseReport(Math.max(0, nodes - part.nodes), Math.max(0, unseenMillis - part.unseenMillis), rest);
    }

    /** The larger of each team's use in this report and in another one. */
    UseReport most(UseReport other) {
        return new UseReport(nodes, unseenMillis, joined(other, TeamUse::most));
    }

    /** A share of each team's use. */
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
