package org.parsleydrift.journal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;

/** Bounds the wait for an answer of the platform on the loop's clock. */
public final class Deadline {
    private Deadline() {}

    /**
     * Gives an answer that fails as UNKNOWN when none comes in time. A connection that went silent never fails by
     * itself: without this bound a node would wait for it for ever, and its programs with it.
     *
     * @param loop the loop on whose clock to wait
     * @param answer the answer awaited
     * @param timeout how long to wait
     * @param key the object concerned
     * @param <T> the type of the answer
     * @return completes as the answer does, or fails at the deadline
     */
    public static <T> CompletableFuture<T> withTimeout(
            EventLoop loop, CompletableFuture<T> answer, Duration timeout, String key) {
        CompletableFuture<T> bounded = new CompletableFuture<>();
        Cancellable timer = loop.schedule(
                timeout, () -> bounded.completeExceptionally(new StoreException(StoreFailure.UNKNOWN, key)));
        answer.whenComplete((value, failure) -> {
            timer.cancel();
            if (failure == null) {
                bounded.complete(value);
            } else {
                bounded.completeExceptionally(failure);
            }
        });
        return bounded;
    }
}
