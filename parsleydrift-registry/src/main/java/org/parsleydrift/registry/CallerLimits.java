package org.parsleydrift.registry;

import java.time.Duration;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body
 * @param headerTimeout time for a head to arrive whole
 * @param idleTimeout time for which a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;

    /**
     * Limits for the time before a manifest is known.
     *
     * @return usual limits
     */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
