package org.parsleydrift.relay;

/** Handler of callers' requests. */
interface RequestHandler {
    /** Starts processing a request; returns the request, which may have ended already. */
    OpenRequest handle(CallerRequest request, CallerResponse response);
}
