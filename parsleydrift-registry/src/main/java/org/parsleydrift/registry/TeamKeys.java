package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Whose each key of a manifest is. Immutable. Faults are told by the team's name: keys stay out of logs. */
public final class TeamKeys {
    /** Longest key that is looked up, characters: longer ones are nobody's, and cost no hashing. */
    private static final int LONGEST_KEY = 1024;

    private final Map<String, Team> byKey;

    /**
     * A team and its keys.
     *
     * @param team the team
     * @param keys its keys; none if all were taken away
     */
    public record Holder(Team team, List<String> keys) {
        /**
         * Copies the keys.
         *
         * @param team the team
         * @param keys its keys
         */
        public Holder {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Makes the index.
     *
     * @param holders all teams
     * @throws StepException if a name or a key is empty or stands twice
     */
    public TeamKeys(List<Holder> holders) {
        Set<String> names = new HashSet<>();
        Map<String, Team> index = new HashMap<>();
        holders.forEach(holder -> {
            String name = holder.team().name();
            check(!name.isBlank(), "a team has no name");
            check(names.add(name), "team " + name + " stands twice");
            holder.keys().forEach(key -> {
                check(!key.isBlank(), "team " + name + " has an empty key");
                Team other = index.put(key, holder.team());
                check(other == null, "team " + name + " has a key that stands twice");
            });
        });
        byKey = Map.copyOf(index);
    }

    /**
     * Whose a key is.
     *
     * @param key the key
     * @return the team, if any holds it
     */
    public Optional<Team> team(String key) {
        return key.length() > LONGEST_KEY ? Optional.empty() : Optional.ofNullable(byKey.get(key));
    }

    private static void check(boolean sound, String fault) {
        if (!sound) {
            throw new StepException(Step.PARSE, "manifest", fault);
        }
    }
}
