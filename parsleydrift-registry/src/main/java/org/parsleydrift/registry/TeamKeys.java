package org.parsleydrift.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Immutable index of teams by API key. Errors name the team and never the key, so that keys stay out of logs. */
public final class TeamKeys {
    /** Maximum length of a key, characters; longer keys are rejected without hashing them. */
    private static final int MAX_KEY_LENGTH = 1024;

    private final Map<String, Team> byKey;

    /**
     * Team and its API keys.
     *
     * @param team the team
     * @param keys its keys; empty if all have been revoked
     */
    public record Holder(Team team, List<String> keys) {
        /**
         * Copies the list.
         *
         * @param team the team
         * @param keys its keys; empty if all have been revoked
         */
        public Holder {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Builds the index.
     *
     * @param holders all teams with their keys
     * @throws StepException if a name or key is blank or occurs twice
     */
    public TeamKeys(List<Holder> holders) {
        Set<String> names = new HashSet<>();
        Map<String, Team> index = new HashMap<>();
        holders.forEach(holder -> {
            String name = holder.team().name();
            check(!name.isBlank(), "a team has a blank name");
            check(names.add(name), "team " + name + " is defined more than once");
            holder.keys().forEach(key -> {
                check(!key.isBlank(), "team " + name + " has a blank API key");
                Team other = index.put(key, holder.team());
                check(other == null, "team " + name + " has an API key that is already assigned");
            });
        });
        byKey = Map.copyOf(index);
    }

    /**
     * Looks up the team that holds a key.
     *
     * @param key API key
     * @return the team; empty if no team holds the key
     */
    public Optional<Team> team(String key) {
        return key.length() > MAX_KEY_LENGTH ? Optional.empty() : Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns the best priority of a team that holds a key.
     *
     * @return the priority; empty if no such team has one
     */
    OptionalInt bestPriority() {
        return byKey.values().stream()
                .flatMapToInt(each -> each.priority().stream())
                .min();
    }

    private static void check(boolean valid, String message) {
        if (!valid) {
            throw new StepException(Step.PARSE, "manifest", message);
        }
    }
}
