package org.parsleydrift.roles;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * History of the usage that this node has sent to its hub, by round. The sum of the hub contains one of these values,
 * which has to be subtracted so that this node's own requests are not counted twice.
 */
final class ToldUse {
    /** Number of rounds kept; covers more time than a summary stays valid. */
    private static final int REMEMBERED = 32;

    private final Map<Integer, NodeUse> byRound = new LinkedHashMap<>();

    void told(int round, NodeUse use) {
        byRound.put(round, use);
        if (byRound.size() > REMEMBERED) {
            byRound.remove(byRound.keySet().iterator().next());
        }
    }

    /** Returns the usage of all other nodes of a zone according to the summary of the zone. */
    NodeUse othersIn(ZoneSummaries.Heard heard, String self) {
        return heard.summary().use().minus(ownIn(heard, self));
    }

    private NodeUse ownIn(ZoneSummaries.Heard heard, String self) {
        List<String> names = heard.members().orElse(List.of()).stream()
                .map(ZoneSummary.Member::name)
                .toList();
        int place = names.indexOf(self);
        List<Integer> rounds = heard.summary().rounds();
        return place < 0 || place >= rounds.size()
                ? NodeUse.NONE
                : byRound.getOrDefault(rounds.get(place), NodeUse.NONE);
    }
}
