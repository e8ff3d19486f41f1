package org.parsleydrift.wire;

import java.util.concurrent.CompletableFuture;

/**
 * A request in progress.
 *
 * @param answer completes with the response, or fails with {@link HttpFailure}; the body is empty if it was streamed
 * @param cancel cancels the request by closing its connection
 */
public record HttpCall(CompletableFuture<HttpAnswer> answer, Runnable cancel) {}
