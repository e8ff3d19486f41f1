package org.parsleydrift.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A whole answer of the HTTP client.
 *
 * @param status the HTTP status
 * @param headers its headers, names in lower case
 * @param body the body
 */
public record HttpClientResponse(int status, Map<String, String> headers, byte[] body) {
    /**
     * The body as text.
     *
     * @return the body read as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
