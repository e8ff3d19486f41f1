package org.parsleydrift.kernel.upstream;

import java.util.List;

/**
 * One model turn for an engine.
 *
 * @param streamId names the stream on the engine, unique per attempt
 * @param owner tags what the engine holds: program id
 * @param model the model to run
 * @param prompt the history, in order
 * @param maxTokens the most tokens to generate
 */
public record TurnRequest(String streamId, String owner, String model, List<String> prompt, int maxTokens) {}
