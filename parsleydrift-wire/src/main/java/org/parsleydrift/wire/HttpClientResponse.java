package org.parsleydrift.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete response received by the HTTP client.
 *
 * @param status the HTTP status code
 * @param headers the headers, names in lower case
 * @param body the body; empty if it was streamed
 */
public record HttpClientResponse(int status, Map<String, String> headers, byte[] body) {
    /**
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
