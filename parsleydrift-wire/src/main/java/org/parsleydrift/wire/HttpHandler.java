package org.parsleydrift.wire;

/** Serves HTTP requests. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Serves a request; called on a network thread, so it must hand the work on at once.
     *
     * @param exchange the request
     */
    void handle(HttpExchange exchange);
}
