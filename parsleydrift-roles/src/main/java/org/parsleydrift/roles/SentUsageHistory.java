package org.parsleydrift.roles;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * History of the usage that this node has sent to its hub, by round. The sum of the hub contains one of these values,
 * which has to be subtracted so that this node's own requests are not counted twice.
 */
final class SentUsageHistory {
    /** Number of rounds kept; covers more time than a summary stays valid. */
    private static final int MAX_ROUNDS = 32;

    private final Map<Integer, NodeUsage> byRound = new LinkedHashMap<>();

    void add(int round, NodeUsage usage) {
        byRound.put(round, usage);
        if (byRound.size() > MAX_ROUNDS) {
            byRound.remove(byRound.keySet().iterator().next());
        }
    }

    /** Returns the usage of all other nodes of a zone according to the summary of the zone. */
    NodeUsage usageOfOthers(ZoneSummaries.Received received, String self) {
        return received.summary().usage().minus(ownUsageIn(received, self));
    }

    private NodeUsage ownUsageIn(ZoneSummaries.Received received, String self) {
        List<String> names = received.members().orElse(List.of()).stream()
                .map(ZoneSummary.Member::name)
                .toList();
        int index = names.indexOf(self);
        List<Integer> rounds = received.summary().rounds();
        return index < 0 || index >= rounds.size()
                ? NodeUsage.NONE
                : byRound.getOrDefault(rounds.get(index), NodeUsage.NONE);
    }
}
