package org.parsleydrift.relay;

/** A response that a caller has not received completely, as counted by {@link OwedResponses}. */
interface OwedResponse {
    /** Returns the caller's id of the request, for logs. */
    String requestId();

    /** Returns how far the request has come. */
    ResponseStage stage();

    /** Responds now, as the process ends. */
    void endNow();
}
