package org.parsleydrift.wire;

import java.util.concurrent.CompletableFuture;

/**
 * A request in progress.
 *
 * @param response completes with the response, or fails with {@link HttpException}; the body is empty if it was streamed
 * @param cancel cancels the request by closing its connection
 */
public record HttpCall(CompletableFuture<HttpClientResponse> response, Runnable cancel) {}
