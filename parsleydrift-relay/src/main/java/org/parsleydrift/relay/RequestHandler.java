package org.parsleydrift.relay;

/** Handler of callers' requests. */
interface RequestHandler {
    /**
     * Starts processing a request.
     *
     * @return callback to run if the caller disconnects before the response has ended
     */
    Runnable handle(CallerRequest request, CallerResponse response);
}
