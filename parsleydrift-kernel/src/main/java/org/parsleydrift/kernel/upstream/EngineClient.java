package org.parsleydrift.kernel.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;

/** Model engines (brief, "What the platform gives"). Futures and tokens may come on any thread. */
public interface EngineClient {
    /**
     * Runs a turn.
     *
     * @param runner the engine's address
     * @param request the turn
     * @param tokens receives each piece of generated text in order
     * @param done receives the result, or the failure; exactly one of both, once
     * @return a handle whose cancel ends the stream on the engine
     */
    Cancellable runTurn(
            String runner, TurnRequest request, Consumer<String> tokens, CompletableFuture<TurnResult> done);

    /**
     * Frees all that an engine holds for an owner. Idempotent.
     *
     * @param runner the engine's address
     * @param owner the tag
     * @return completes when it is freed
     */
    CompletableFuture<Void> release(String runner, String owner);

    /**
     * Lists what an engine holds.
     *
     * @param runner the engine's address
     * @return its rows
     */
    CompletableFuture<List<EngineMemory>> listMemory(String runner);
}
