package org.parsleydrift.node.placement;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.upstream.TurnResult;

/**
 * A model turn that wants a runner.
 *
 * @param program the program's id
 * @param path the agent
 * @param turn the number of the turn
 * @param streamId unique per attempt
 * @param model the model
 * @param prompt the history, in order
 * @param maxTokens tokens reserved for it
 * @param startedMillis when its program was accepted; the older program goes first
 * @param tokens receives the generated text on the node's loop
 * @param done receives the result or a failure on the node's loop
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
    String warmKey() {
        return program + "/" + path;
    }

    int promptCharacters() {
        return prompt.stream().mapToInt(String::length).sum();
    }
}
