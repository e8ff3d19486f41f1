package org.parsleydrift.journal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;

/** Limits the wait for a response of the object store. */
public final class Deadline {
    private Deadline() {}

    /**
     * Adds a timeout to a request. A stalled connection may never fail by itself, so each request needs its own
     * timeout.
     *
     * @param loop the event loop on which the timeout runs
     * @param response the pending response
     * @param timeout the maximum time to wait
     * @param key the key of the requested object
     * @param <T> the type of the response
     * @return completes like the response, or fails with {@link StoreFailure#UNKNOWN} after the timeout
     */
    public static <T> CompletableFuture<T> withTimeout(
            EventLoop loop, CompletableFuture<T> response, Duration timeout, String key) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Cancellable timer = loop.schedule(
                timeout, () -> result.completeExceptionally(new StoreException(StoreFailure.UNKNOWN, key)));
        response.whenComplete((value, failure) -> {
            timer.cancel();
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        });
        return result;
    }
}
