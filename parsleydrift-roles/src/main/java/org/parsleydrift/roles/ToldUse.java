package org.parsleydrift.roles;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a node told its hub of its own use, by round. The hub's sum holds one of these; a node that counted it beside what
 * it knows of itself would take each of its requests for two.
 */
final class ToldUse {
    /** Rounds that are remembered: some seconds, longer than a sum may be old. */
    private static final int REMEMBERED = 32;

    private final Map<Integer, NodeUse> byRound = new LinkedHashMap<>();

    void told(int round, NodeUse use) {
        byRound.put(round, use);
        if (byRound.size() > REMEMBERED) {
            byRound.remove(byRound.keySet().iterator().next());
        }
    }

    /** The use of all other nodes of a zone, by the zone's summary. */
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
