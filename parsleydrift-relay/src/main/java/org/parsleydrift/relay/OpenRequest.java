package org.parsleydrift.relay;

/** A request that a {@link RequestHandler} is processing. */
interface OpenRequest {
    /** Returns the caller's id of the request, for logs. */
    String id();

    /** Returns how far the request has come. */
    RequestStage stage();

    /** Called if the caller disconnects before the response has ended. */
    void handleDisconnect();

    /** Called if the process ends before the response has ended; the response is given now, as far as it can be. */
    void handleProcessEnd();
}
