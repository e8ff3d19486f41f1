package org.parsleydrift.registry;

import java.time.Duration;

/**
 * Size limits and timeouts for connections and requests of callers.
 *
 * @param maxHeaderBytes maximum size of the request head, bytes
 * @param maxBodyBytes maximum size of the request body, bytes
 * @param headerTimeout time within which the complete head must arrive
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;

    /**
     * Limits that apply until a manifest has been received.
     *
     * @return default limits
     */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
