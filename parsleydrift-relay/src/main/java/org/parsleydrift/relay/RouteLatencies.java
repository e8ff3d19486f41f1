package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The latencies of the latest answered requests of each route at this node. Not thread-safe; confined to one event loop. */
final class RouteLatencies {
    /** Number of requests considered for each route. */
    private static final int SIZE = 64;
    /** Number of requests below which nothing is said. */
    private static final int MIN_COUNT = 8;

    private final Map<String, Window> windows = new HashMap<>();

    /** The latencies of one route, ns. */
    private static final class Window {
        private final long[] nanos = new long[SIZE];
        private long count;

        private void add(Duration latency) {
            nanos[(int) (count++ % SIZE)] = latency.toNanos();
        }

        private Optional<Duration> quantile(double share) {
            if (count < MIN_COUNT) {
                return Optional.empty();
            }
            long[] sorted = Arrays.copyOf(nanos, (int) Math.min(count, SIZE));
            Arrays.sort(sorted);
            return Optional.of(Duration.ofNanos(sorted[(int) Math.ceil(share * sorted.length) - 1]));
        }
    }

    /** Adds the latency of a request that was answered. */
    void add(String route, Duration latency) {
        windows.computeIfAbsent(route, any -> new Window()).add(latency);
    }

    /** Keeps only the given routes. */
    void retain(Set<String> routes) {
        windows.keySet().retainAll(routes);
    }

    /**
     * Returns a quantile of the latencies of a route.
     *
     * @param route name of the route
     * @param share share of the requests that were not slower, above 0 and up to 1
     * @return the latency; empty while too few requests are known
     */
    Optional<Duration> quantile(String route, double share) {
        return Optional.ofNullable(windows.get(route)).flatMap(each -> each.quantile(share));
    }
}
