package org.parsleydrift.kernel.upstream;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A client of tools and plain services. Futures may complete on any thread. */
public interface CallClient {
    /**
     * Sends a call once, without retries.
     *
     * @param upstream the address of the upstream
     * @param request the call
     * @param timeout the maximum time to wait for the complete response
     * @return the response body; fails with a {@link CallException}
     */
    CompletableFuture<String> call(String upstream, CallRequest request, Duration timeout);
}
