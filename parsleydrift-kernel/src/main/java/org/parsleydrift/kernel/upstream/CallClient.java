package org.parsleydrift.kernel.upstream;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Tool services and plain services. Futures may complete on any thread. */
public interface CallClient {
    /**
     * Sends a call once.
     *
     * @param upstream the upstream's address
     * @param request the call
     * @param timeout how long to wait for the whole answer
     * @return the answer's body; fails with a {@link CallException}
     */
    CompletableFuture<String> call(String upstream, CallRequest request, Duration timeout);
}
