package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The manifests of a run. */
final class SoakManifest {
    /** Retention period of stored conversations; short, so that a run lasts for many of them. */
    static final Duration RETENTION = Duration.ofSeconds(6);

    private static final String LIMITS = "\"max_body_bytes\": 4194304";
    private static final String LOWERED_LIMITS = "\"max_body_bytes\": 2000, \"idle_timeout_ms\": 1000";
    private static final String ROUTE = """
            ,
              {"name": "%s", "host": "127.0.0.1", "path_prefix": "%s", "type": "%s",
               "service": "clerk", "timeout_ms": 6000, "target_latency_ms": 2000, "max_attempts": 3}""";

    private static final double RATE_PER_SECOND = 16;
    private static final double BURST = 22;

    private SoakManifest() {}

    /**
     * A team of the manifest.
     *
     * @param name its name
     * @param isCalm whether its callers ask for less than its quota
     */
    record SoakTeam(String name, boolean isCalm) {
        static final SoakTeam CALM = new SoakTeam("calm", true);
        static final SoakTeam SURGING = new SoakTeam("surging", false);

        String key() {
            return "key-of-" + name;
        }

        QuotaRecords newRecords() {
            return new QuotaRecords(RATE_PER_SECOND, BURST);
        }

        private String json() {
            return """
                    {"name": "%s", "api_keys": ["%s"], "rate_per_s": %s, "burst": %s}
                    """.formatted(name, key(), RATE_PER_SECOND, BURST);
        }
    }

    /** Returns a manifest whose callers belong to teams with quotas. */
    static String textWithTeams(int version) {
        String plain = text(version, false);
        String teams =
                Stream.of(SoakTeam.CALM, SoakTeam.SURGING).map(SoakTeam::json).collect(Collectors.joining(", "));
        return plain.replaceFirst("\\{", Matcher.quoteReplacement("{\"tenants\": [" + teams + "], "));
    }

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
                        isReduced ? LOWERED_LIMITS : LIMITS,
                        RETENTION.toSeconds(),
                        ROUTE.formatted("answers", CallerAttempt.REPEATABLE, "idempotent"),
                        ROUTE.formatted("single", CallerAttempt.ONCE, "non_idempotent"),
                        isReduced ? "" : ROUTE.formatted("changing", CallerAttempt.CHANGING, "non_idempotent"));
    }
}
