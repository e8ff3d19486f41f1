package org.parsleydrift.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Filters the headers that are forwarded between caller and runner; hop-by-hop headers are removed. */
final class ForwardedHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "host");

    private ForwardedHeaders() {}

    /** Returns the headers to forward to a runner, without those that callers must not set. */
    static HttpHeaders toRunner(HttpHeaders headers, HeaderNames headerNames) {
        return copy(headers, headerNames.reserved());
    }

    /** Returns the headers to forward to a caller. */
    static HttpHeaders toCaller(HttpHeaders headers) {
        return copy(headers, Set.of());
    }

    /** Returns a {@code Retry-After} header with random jitter, which keeps rejected callers from retrying in step. */
    static HttpHeaders retryAfter(Duration delay, RandomGenerator random) {
        return retryAfter(delay.toMillis() / 1000.0 * (1 + RelayLimits.RETRY_JITTER * random.nextDouble()));
    }

    /** Returns a {@code Retry-After} header with exactly the given delay, for callers that come back at set times. */
    static HttpHeaders retryAfter(Duration delay) {
        return retryAfter(delay.toMillis() / 1000.0);
    }

    private static HttpHeaders retryAfter(double seconds) {
        return DefaultHttpHeadersFactory.headersFactory()
                .newHeaders()
                .set("Retry-After", String.format(Locale.ROOT, "%.2f", seconds));
    }

    private static HttpHeaders copy(HttpHeaders headers, Set<String> excluded) {
        Set<String> connectionOptions = connectionOptions(headers.getAll("Connection"));
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.forEach(each -> {
            String name = each.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !excluded.contains(name) && !connectionOptions.contains(name)) {
                copy.add(each.getKey(), each.getValue());
            }
        });
        return copy;
    }

    private static Set<String> connectionOptions(List<String> connection) {
        return connection.stream()
                .flatMap(each -> Arrays.stream(each.split(",")))
                .map(each -> each.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toCollection(HashSet::new));
    }
}
