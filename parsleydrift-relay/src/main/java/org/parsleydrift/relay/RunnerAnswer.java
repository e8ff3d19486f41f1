package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives what a runner answers to one request. One of end and broken comes last, once. */
interface RunnerAnswer {
    /** Status and headers have come. */
    void head(int status, HttpHeaders headers);

    /** A part of the body has come. */
    void part(byte[] bytes);

    /** The answer is whole. */
    void end();

    /**
     * There will be no whole answer.
     *
     * @param mayHaveRun whether the runner may have begun the request or may yet begin it
     * @param reason why
     */
    void broken(boolean mayHaveRun, String reason);
}
