package org.parsleydrift.kernel.upstream;

import java.util.List;

/**
 * The result of a completed model turn.
 *
 * @param text the complete generated text
 * @param actions the requested actions, each a line such as {@code tool registry.assign {"hull":7}}
 * @param promptTokens the number of tokens of the prompt
 * @param cachedTokens the number of prompt tokens found in the engine's prefix cache
 * @param outputTokens the number of generated tokens
 */
public record TurnResult(String text, List<String> actions, int promptTokens, int cachedTokens, int outputTokens) {}
