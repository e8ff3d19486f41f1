package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response of a runner to one request. Exactly one of {@link #end} and {@link #broken} is called, last.
 */
interface RunnerAnswer {
    /** Receives status and headers. */
    void head(int status, HttpHeaders headers);

    /** Receives a part of the body. */
    void part(byte[] bytes);

    /** Receives the end of a complete response. */
    void end();

    /**
     * Receives the failure of a response that will not be completed.
     *
     * @param mayHaveRun whether the runner may have started the request or may still start it
     * @param reason reason for logs and metrics
     */
    void broken(boolean mayHaveRun, String reason);
}
