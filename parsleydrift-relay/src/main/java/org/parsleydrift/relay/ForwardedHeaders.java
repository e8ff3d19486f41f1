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

/** Headers that pass through; those that concern one connection only don't. */
final class ForwardedHeaders {
    private static final Set<String> ONE_CONNECTION = Set.of(
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

    /** What goes on to a runner; headers that only the system may set are taken off. */
    static HttpHeaders toRunner(HttpHeaders headers, HeaderNames dialect) {
        return copy(headers, dialect.reserved());
    }

    /** What goes back to a caller. */
    static HttpHeaders toCaller(HttpHeaders headers) {
        return copy(headers, Set.of());
    }

    /** When to come back after a refusal, spread so that callers refused together don't return together. */
    static HttpHeaders comeBack(Duration after, RandomGenerator random) {
        double seconds = after.toMillis() / 1000.0 * (1 + RelayLimits.COME_BACK_SPREAD * random.nextDouble());
        return DefaultHttpHeadersFactory.headersFactory()
                .newHeaders()
                .set("Retry-After", String.format(Locale.ROOT, "%.2f", seconds));
    }

    private static HttpHeaders copy(HttpHeaders headers, Set<String> left) {
        Set<String> named = named(headers.getAll("Connection"));
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.forEach(each -> {
            String name = each.getKey().toLowerCase(Locale.ROOT);
            if (!ONE_CONNECTION.contains(name) && !left.contains(name) && !named.contains(name)) {
                copy.add(each.getKey(), each.getValue());
            }
        });
        return copy;
    }

    private static Set<String> named(List<String> connection) {
        return connection.stream()
                .flatMap(each -> Arrays.stream(each.split(",")))
                .map(each -> each.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toCollection(HashSet::new));
    }
}
