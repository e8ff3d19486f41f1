package org.parsleydrift.bench.decisions;

import java.util.List;

/**
 * One turn of a program, drawn before a run so that all policies meet the same programs.
 *
 * @param newTokens tokens that its caller adds to the line
 * @param outputTokens tokens that the engine makes
 * @param nodeDraw a number from 0 to 1, not 1, for the entry node that it comes to
 * @param pauseMillis what its caller does before the next turn, ms
 * @param subAgents lines of turns that run side by side after it, before the next turn
 */
public record TurnScript(
        int newTokens, int outputTokens, double nodeDraw, double pauseMillis, List<List<TurnScript>> subAgents) {
    /** Copies the lists. */
    public TurnScript {
        subAgents = subAgents.stream().map(List::copyOf).toList();
    }
}
