package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response to one request. Exactly one of {@link #sendFull}, {@link #endStream} and {@link #abort} ends it.
 */
interface CallerResponse {
    /** Sends a full response. */
    void sendFull(int status, HttpHeaders headers, byte[] body);

    /** Sends the head of an event stream. */
    void beginStream(int status, HttpHeaders headers);

    /** Sends complete events. */
    void sendEvents(byte[] bytes);

    /**
     * Ends a stream with the terminating chunk, which marks it as complete; for a caller of HTTP/1.0, by closing the
     * connection.
     */
    void endStream();

    /**
     * Closes the connection without the terminating chunk, so that the caller recognizes the response as incomplete. A
     * stream to a caller of HTTP/1.0 has no chunks; its connection is reset.
     */
    void abort();
}
