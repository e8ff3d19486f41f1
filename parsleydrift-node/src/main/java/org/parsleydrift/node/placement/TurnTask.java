package org.parsleydrift.node.placement;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.upstream.TurnResult;

/**
 * A model turn to be placed on a runner.
 *
 * @param program id of the program
 * @param path path of the agent within the program
 * @param turn number of the turn
 * @param streamId unique id of the attempt
 * @param model name of the model in the manifest
 * @param prompt system prompt and history, in order
 * @param maxTokens maximum number of output tokens
 * @param startedMillis time at which the program was accepted, in epoch milliseconds; older programs are placed first
 * @param tokens receives the generated text on the event loop
 * @param done receives the result or the failure on the event loop
 */
public record TurnTask(
        String program,
        String path,
        int turn,
        String streamId,
        String model,
        List<String> prompt,
        int maxTokens,
        long startedMillis,
        Consumer<String> tokens,
        CompletableFuture<TurnResult> done) {
    String cacheKey() {
        return program + "/" + path;
    }

    int promptCharacters() {
        return prompt.stream().mapToInt(String::length).sum();
    }
}
