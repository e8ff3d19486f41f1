package org.parsleydrift.wire;

import java.time.Duration;

/**
 * A request of the HTTP client.
 *
 * @param address host and port
 * @param method GET, POST and so on
 * @param target path and query
 * @param body the body; empty for none
 * @param idleTimeout fails when no byte comes for this long
 * @param reuseConnection whether a kept connection may serve; no for calls that must not be sent twice, since a kept connection
 *     that the other side has just closed leaves it unknown whether the call arrived
 */
public record HttpRequestSpec(
        String address, String method, String target, byte[] body, Duration idleTimeout, boolean reuseConnection) {
    private static final byte[] NOTHING = {};

    /**
     * A request without a body.
     *
     * @param address host and port
     * @param method GET, DELETE and so on
     * @param target path and query
     * @param silence fails when no byte comes for this long
     * @return the request
     */
    public static HttpRequestSpec of(String address, String method, String target, Duration silence) {
        return new HttpRequestSpec(address, method, target, NOTHING, silence, true);
    }
}
