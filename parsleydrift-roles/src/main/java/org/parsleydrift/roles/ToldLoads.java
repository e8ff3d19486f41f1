package org.parsleydrift.roles;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a node told its hub of its own load, by round. The hub's sum holds one of these; a node that counted it beside what
 * it knows of itself would take each of its requests for two.
 */
final class ToldLoads {
    /** Rounds that are remembered: some seconds, longer than a sum may be old. */
    private static final int REMEMBERED = 32;

    private final Map<Integer, Map<Long, Integer>> byRound = new LinkedHashMap<>();

    void told(int round, Map<Long, Integer> load) {
        byRound.put(round, load);
        if (byRound.size() > REMEMBERED) {
            byRound.remove(byRound.keySet().iterator().next());
        }
    }

    /** The load of all other nodes of a zone, by the zone's summary. */
    Map<Long, Integer> othersIn(ZoneSummaries.Heard heard, String self) {
        Map<Long, Integer> others = new HashMap<>(heard.summary().load());
        ownIn(heard, self).forEach((runner, own) -> others.merge(runner, -own, Integer::sum));
        others.values().removeIf(each -> each <= 0);
        return others;
    }

    private Map<Long, Integer> ownIn(ZoneSummaries.Heard heard, String self) {
        List<String> names = heard.members().orElse(List.of()).stream()
                .map(ZoneSummary.Member::name)
                .toList();
        int place = names.indexOf(self);
        List<Integer> rounds = heard.summary().rounds();
        return place < 0 || place >= rounds.size() ? Map.of() : byRound.getOrDefault(rounds.get(place), Map.of());
    }
}
