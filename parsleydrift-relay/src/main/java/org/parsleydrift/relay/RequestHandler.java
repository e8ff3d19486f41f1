package org.parsleydrift.relay;

/** Serves requests of callers. */
interface RequestHandler {
    /**
     * Serves a request.
     *
     * @return what to run if the caller leaves before the answer has ended
     */
    Runnable handle(CallerRequest request, CallerAnswer answer);
}
