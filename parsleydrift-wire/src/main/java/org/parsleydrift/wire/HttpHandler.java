package org.parsleydrift.wire;

/** Handles HTTP requests. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request. Called on a network thread, so implementations must not block.
     *
     * @param exchange the request, which the handler answers now or later
     */
    void handle(HttpExchange exchange);
}
