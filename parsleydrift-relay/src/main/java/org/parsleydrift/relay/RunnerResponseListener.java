package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response of a runner to one request; the last call is one of {@link #onEnd},
 * {@link #onFailure} and {@link #onConnectionLost}.
 */
interface RunnerResponseListener {
    /** Receives status and headers. */
    void onHead(int status, HttpHeaders headers);

    /** Receives a part of the body. */
    void onPart(byte[] bytes);

    /** Receives the end of a complete response, or of one whose head states that the request was not executed. */
    void onEnd();

    /**
     * Receives the failure of a response that will not be completed.
     *
     * @param mayHaveRun whether the runner may have started the request or may still start it
     * @param reason reason for logs and metrics
     */
    void onFailure(boolean mayHaveRun, String reason);

    /**
     * Receives the loss of the connection before the end of the response. The runner may have started the request, and may
     * have ended under it.
     *
     * @param reason reason for logs and metrics
     */
    void onConnectionLost(String reason);
}
