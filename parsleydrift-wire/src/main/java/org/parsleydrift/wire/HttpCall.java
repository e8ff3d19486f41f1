package org.parsleydrift.wire;

import java.util.concurrent.CompletableFuture;

/**
 * A request under way.
 *
 * @param response the whole answer; its body is empty if the pieces went to a receiver
 * @param cancel closes the connection
 */
public record HttpCall(CompletableFuture<HttpClientResponse> response, Runnable cancel) {}
