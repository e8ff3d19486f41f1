package org.parsleydrift.kernel.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;

/** A client of model engines. Futures may complete and tokens may arrive on any thread. */
public interface EngineClient {
    /**
     * Runs a model turn and streams the generated text.
     *
     * @param runner the address of the engine
     * @param request the turn
     * @param tokens receives the generated text in chunks, in order
     * @param done completed exactly once, with the result or exceptionally
     * @return a handle whose cancellation ends the stream on the engine
     */
    Cancellable runTurn(
            String runner, TurnRequest request, Consumer<String> tokens, CompletableFuture<TurnResult> done);

    /**
     * Frees all memory that an engine holds for an owner. Idempotent.
     *
     * @param runner the address of the engine
     * @param owner the owner given in the turn requests
     * @return completes when the memory is freed
     */
    CompletableFuture<Void> release(String runner, String owner);

    /**
     * Lists the memory that an engine holds, by owner.
     *
     * @param runner the address of the engine
     * @return the entries, empty if the engine holds no memory
     */
    CompletableFuture<List<EngineMemory>> listMemory(String runner);
}
