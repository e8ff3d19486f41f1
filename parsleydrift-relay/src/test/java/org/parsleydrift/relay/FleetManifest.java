package org.parsleydrift.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleydrift.registry.CallKind;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.UpstreamService;

/** The routing manifest of a {@link StreamFleet}. */
final class FleetManifest {
    static final int TOKENS_PER_EVENT = 10;

    private FleetManifest() {}

    /** Returns a manifest whose routes all lead to the given destinations. */
    static RoutingManifest create(long version, List<Destination> destinations) {
        Set<String> services = new HashSet<>();
        destinations.forEach(each -> services.add(each.service()));
        return new RoutingManifest(
                version,
                List.of(
                        route(destinations, "/events/", true, false, Duration.ofSeconds(5)),
                        route(destinations, "/brief/", true, false, Duration.ofMillis(300)),
                        route(destinations, "/stored/", false, true, Duration.ofSeconds(5)),
                        calls(destinations, "/calls/", CallKind.IDEMPOTENT, Duration.ZERO),
                        calls(destinations, "/orders/", CallKind.NON_IDEMPOTENT, Duration.ofMillis(100)),
                        calls(destinations, "/slow-orders/", CallKind.NON_IDEMPOTENT, Duration.ofSeconds(1))),
                services.stream()
                        .map(each -> new UpstreamService(each, 100, true, TOKENS_PER_EVENT, "/health"))
                        .toList(),
                CallerLimits.defaults());
    }

    private static Route route(
            List<Destination> destinations, String prefix, boolean resumable, boolean stateful, Duration timeout) {
        return new Route(
                prefix,
                "h",
                prefix,
                CallKind.STREAMING,
                timeout,
                Duration.ofMillis(100),
                1,
                0,
                resumable,
                stateful,
                Duration.ofSeconds(60),
                false,
                destinations);
    }

    /** Returns a route of calls, each of which may reach three runners if it is idempotent. */
    private static Route calls(List<Destination> destinations, String prefix, CallKind kind, Duration targetLatency) {
        return new Route(
                prefix,
                "h",
                prefix,
                kind,
                Duration.ofSeconds(5),
                targetLatency,
                3,
                0,
                false,
                false,
                Duration.ZERO,
                false,
                destinations);
    }
}
