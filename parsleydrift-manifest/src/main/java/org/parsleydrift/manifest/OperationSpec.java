package org.parsleydrift.manifest;

import java.time.Duration;
import java.util.List;

/**
 * The declaration of a tool or a plain service.
 *
 * @param upstreams the addresses of its servers, IPv4 address and port
 * @param repeatable whether calls are idempotent; false if a call must run at most once
 * @param timeoutSeconds the timeout of one attempt in seconds; 30 if absent
 * @param attempts the maximum number of attempts of a repeatable call; 3 if absent
 * @param concurrency the maximum number of concurrent calls per node; 64 if absent
 */
public record OperationSpec(
        List<String> upstreams, boolean repeatable, Integer timeoutSeconds, Integer attempts, Integer concurrency) {
    private static final int DEFAULT_TIMEOUT_SECONDS = 30;
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final int DEFAULT_CONCURRENCY = 64;

    /** Replaces absent values by their defaults and makes a defensive copy of the addresses. */
    public OperationSpec {
        upstreams = List.copyOf(upstreams);
        timeoutSeconds = timeoutSeconds == null ? DEFAULT_TIMEOUT_SECONDS : timeoutSeconds;
        attempts = attempts == null ? DEFAULT_ATTEMPTS : attempts;
        concurrency = concurrency == null ? DEFAULT_CONCURRENCY : concurrency;
    }

    /**
     * Returns the timeout of one attempt.
     *
     * @return the timeout, a whole number of seconds
     */
    public Duration timeout() {
        return Duration.ofSeconds(timeoutSeconds);
    }
}
