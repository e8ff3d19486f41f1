package org.parsleydrift.kernel.upstream;

import java.util.List;

/**
 * A request to an engine to run one model turn.
 *
 * @param streamId the id of the stream on the engine, unique per attempt
 * @param owner the owner of the memory that the engine allocates: the program id
 * @param model the model to run
 * @param prompt the parts of the prompt, in order
 * @param maxTokens the maximum number of tokens to generate
 */
public record TurnRequest(String streamId, String owner, String model, List<String> prompt, int maxTokens) {}
