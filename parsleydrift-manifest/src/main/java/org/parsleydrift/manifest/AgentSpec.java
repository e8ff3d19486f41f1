package org.parsleydrift.manifest;

/**
 * The declaration of an agent.
 *
 * @param model the name of the model on which the agent runs
 * @param turnTokens the maximum number of generated tokens per turn; 512 if absent
 * @param systemPrompt the first part of every prompt; empty if absent
 * @param budget the budget of a program with this root agent
 */
public record AgentSpec(String model, Integer turnTokens, String systemPrompt, Budget budget) {
    private static final int DEFAULT_TURN_TOKENS = 512;

    /** Replaces absent values by their defaults. */
    public AgentSpec {
        turnTokens = turnTokens == null ? DEFAULT_TURN_TOKENS : turnTokens;
        systemPrompt = systemPrompt == null ? "" : systemPrompt;
    }
}
