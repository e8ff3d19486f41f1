package org.parsleydrift.bench.decisions;

import java.util.List;

/**
 * One turn of a program, generated before a run so that all policies serve the same programs.
 *
 * @param newTokens prompt tokens added by the caller
 * @param outputTokens number of tokens that the engine generates
 * @param nodeDraw random number in [0, 1) that selects the entry node
 * @param pauseMillis time until the caller starts the next turn, ms
 * @param subAgents turns of each sub-agent; sub-agents run concurrently between this turn and the next
 */
public record TurnScript(
        int newTokens, int outputTokens, double nodeDraw, double pauseMillis, List<List<TurnScript>> subAgents) {
    /** Makes defensive copies of the lists. */
    public TurnScript {
        subAgents = subAgents.stream().map(List::copyOf).toList();
    }
}
