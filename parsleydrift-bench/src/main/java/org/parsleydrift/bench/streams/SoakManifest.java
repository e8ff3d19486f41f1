package org.parsleydrift.bench.streams;

import java.time.Duration;

/** The manifests of a run. */
final class SoakManifest {
    /** Retention period of stored conversations; short, so that a run lasts for many of them. */
    static final Duration RETENTION = Duration.ofSeconds(6);

    private static final String LOWERED_LIMITS = "\"max_body_bytes\": 2000, \"idle_timeout_ms\": 1000";
    private static final String ROUTE = """
            ,
              {"name": "%s", "host": "127.0.0.1", "path_prefix": "%s", "type": "%s",
               "service": "clerk", "timeout_ms": 6000, "target_latency_ms": 2000, "max_attempts": 3}""";

    private SoakManifest() {}

    /**
     * Returns a manifest.
     *
     * @param version its version
     * @param isReduced whether a route is left out and limits are lower
     */
    static String text(int version, boolean isReduced) {
        return """
                {"version": %d, "limits": {%s},
                 "services": [{"name": "desk", "health_path": "/healthz", "engine": {"chunk_tokens": 5}},
                              {"name": "clerk", "health_path": "/healthz"}], "routes": [
                  {"name": "dispatch", "host": "127.0.0.1", "path_prefix": "/dispatch/", "type": "streaming",
                   "service": "desk", "timeout_ms": 3000, "resumable": true, "retention_s": 60},
                  {"name": "chains", "host": "127.0.0.1", "path_prefix": "/chains/", "type": "streaming",
                   "service": "desk", "timeout_ms": 3000, "stateful": true, "retention_s": %d},
                  {"name": "calls", "host": "127.0.0.1", "path_prefix": "/calls/", "type": "idempotent",
                   "service": "desk", "timeout_ms": 3000, "target_latency_ms": 1000, "max_attempts": 3}%s%s%s]}
                """.formatted(
                        version,
                        isReduced ? LOWERED_LIMITS : "",
                        RETENTION.toSeconds(),
                        ROUTE.formatted("answers", CallerAttempt.REPEATABLE, "idempotent"),
                        ROUTE.formatted("single", CallerAttempt.ONCE, "non_idempotent"),
                        isReduced ? "" : ROUTE.formatted("changing", CallerAttempt.CHANGING, "non_idempotent"));
    }
}
