package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/** The way back to a caller for one request. Exactly one of whole answer, ended stream and abort ends it. */
interface CallerAnswer {
    /** Sends a whole answer. */
    void whole(int status, HttpHeaders headers, byte[] body);

    /** Begins a stream of events. */
    void beginStream(int status, HttpHeaders headers);

    /** Sends events. */
    void events(byte[] bytes);

    /** Ends a stream as complete. */
    void endStream();

    /** Closes the connection, so that the caller can tell that the answer is not complete. */
    void abort();
}
