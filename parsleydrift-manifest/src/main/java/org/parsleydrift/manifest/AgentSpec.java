package org.parsleydrift.manifest;

/**
 * A kind of agent program.
 *
 * @param model the model it runs on
 * @param turnTokens the most tokens of one turn; 512 if absent
 * @param systemPrompt the start of every prompt; empty if absent
 * @param budget the budget of a program of this kind
 */
public record AgentSpec(String model, Integer turnTokens, String systemPrompt, Budget budget) {
    private static final int DEFAULT_TURN_TOKENS = 512;

    /** Fills in defaults. */
    public AgentSpec {
        turnTokens = turnTokens == null ? DEFAULT_TURN_TOKENS : turnTokens;
        systemPrompt = systemPrompt == null ? "" : systemPrompt;
    }
}
