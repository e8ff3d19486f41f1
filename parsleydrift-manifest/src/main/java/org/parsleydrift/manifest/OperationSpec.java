package org.parsleydrift.manifest;

import java.time.Duration;
import java.util.List;

/**
 * A tool or a plain service.
 *
 * @param upstreams addresses that serve it
 * @param repeatable false if a call must run at most once
 * @param timeoutSeconds how long to wait for an answer; 30 if absent
 * @param attempts the most attempts of a repeatable call; 3 if absent
 * @param concurrency calls at once from one node; 64 if absent
 */
public record OperationSpec(
        List<String> upstreams, boolean repeatable, Integer timeoutSeconds, Integer attempts, Integer concurrency) {
    private static final int DEFAULT_TIMEOUT_SECONDS = 30;
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final int DEFAULT_CONCURRENCY = 64;

    /** Fills in defaults. */
    public OperationSpec {
        upstreams = List.copyOf(upstreams);
        timeoutSeconds = timeoutSeconds == null ? DEFAULT_TIMEOUT_SECONDS : timeoutSeconds;
        attempts = attempts == null ? DEFAULT_ATTEMPTS : attempts;
        concurrency = concurrency == null ? DEFAULT_CONCURRENCY : concurrency;
    }

    /**
     * How long to wait for an answer.
     *
     * @return the timeout of one attempt
     */
    public Duration timeout() {
        return Duration.ofSeconds(timeoutSeconds);
    }
}
