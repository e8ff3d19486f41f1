package org.parsleydrift.wire;

import java.time.Duration;

/**
 * A request of the HTTP client.
 *
 * @param address the host and port of the server
 * @param method the HTTP method
 * @param target the path and query
 * @param body the body, empty for none
 * @param idleTimeout the maximum time without received data, after which the request fails
 * @param reuseConnection whether the request may use a pooled connection; must be false for non-idempotent requests, since it is
 *     unknown whether a request arrived if the server closes the pooled connection at the same time
 */
public record HttpRequestSpec(
        String address, String method, String target, byte[] body, Duration idleTimeout, boolean reuseConnection) {
    private static final byte[] EMPTY_BODY = {};

    /**
     * Creates a request without a body that may use a pooled connection.
     *
     * @param address the host and port of the server
     * @param method the HTTP method
     * @param target the path and query
     * @param idleTimeout the maximum time without received data
     * @return the request
     */
    public static HttpRequestSpec of(String address, String method, String target, Duration idleTimeout) {
        return new HttpRequestSpec(address, method, target, EMPTY_BODY, idleTimeout, true);
    }
}
