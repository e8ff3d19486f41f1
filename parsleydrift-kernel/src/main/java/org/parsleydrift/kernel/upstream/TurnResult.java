package org.parsleydrift.kernel.upstream;

import java.util.List;

/**
 * What a finished model turn says.
 *
 * @param text the whole generated text
 * @param actions what the model asks for, each a line such as {@code tool registry.assign {"hull":7}}
 * @param promptTokens tokens of the prompt
 * @param cachedTokens of these, tokens that the engine had cached
 * @param outputTokens tokens generated
 */
public record TurnResult(String text, List<String> actions, int promptTokens, int cachedTokens, int outputTokens) {}
