package org.parsleydrift.placement.fleet;

import java.util.Map;

/**
 * A request that waits at a node for a slot of a runner.
 *
 * @param id id of the request, unique at its node
 * @param rank rank of the request; 0 is the best
 * @param started whether its program is in progress
 * @param waitedMillis time that the request has waited when the report was sent, ms
 * @param anyRunner whether any free runner is acceptable, since the request's wait is nearly over
 * @param promptTokens length of its prompt, tokens; 0 without a prompt
 * @param cachedTokens tokens of the prompt that runners have cached, by incarnation; others have cached nothing
 */
public record SlotRequest(
        String id,
        int rank,
        boolean started,
        long waitedMillis,
        boolean anyRunner,
        int promptTokens,
        Map<String, Integer> cachedTokens) {
    /** Copies the map. */
    public SlotRequest {
        cachedTokens = Map.copyOf(cachedTokens);
    }

    int uncachedTokens(String incarnation) {
        return Math.max(0, promptTokens - cachedTokens.getOrDefault(incarnation, 0));
    }
}
