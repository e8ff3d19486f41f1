package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.parsleydrift.registry.CallKind;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests that a node accepts which ends soon. */
public class DrainAdmissionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(6);

    private final RouteLatencies latencies = new RouteLatencies();
    private final DrainAdmission admission = new DrainAdmission(latencies);

    private static Route route(String name, CallKind kind) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                kind,
                TIMEOUT,
                Duration.ofMillis(100),
                1,
                0,
                true,
                false,
                Duration.ZERO,
                false,
                List.of(new Destination("s", 1)));
    }

    private Duration leastTime(Route route, boolean otherNodeReady) {
        return IntStream.rangeClosed(0, 6000)
                .mapToObj(Duration::ofMillis)
                .filter(each -> admission.accepts(route, TIMEOUT, each, otherNodeReady))
                .findFirst()
                .orElseThrow();
    }

    @DataProvider
    Object[][] kinds() {
        return new Object[][] {
            {CallKind.NON_IDEMPOTENT, 400, 5000}, {CallKind.IDEMPOTENT, 200, 200}, {CallKind.STREAMING, 200, 200}
        };
    }

    /** Guards against requests that are accepted for their target latency though their route is known to take longer. */
    @Test(dataProvider = "kinds")
    public void knownLatenciesDecide(CallKind kind, int unknownMillis, int knownMillis) {
        Route route = route(kind.name(), kind);
        assertEquals(leastTime(route, true), Duration.ofMillis(unknownMillis));
        assertEquals(leastTime(route, false), Duration.ofMillis(100));
        IntStream.range(0, 19).forEach(any -> latencies.add(route.name(), Duration.ofMillis(200)));
        latencies.add(route.name(), Duration.ofSeconds(5));
        assertEquals(leastTime(route, true), Duration.ofMillis(knownMillis));
        assertEquals(leastTime(route, false), Duration.ofMillis(knownMillis));
    }

    /** Guards against a request that is rejected for latencies that its own timeout does not permit. */
    @Test
    public void requestWhoseTimeoutEndsFirstIsAccepted() {
        Route route = route("late", CallKind.NON_IDEMPOTENT);
        IntStream.range(0, 64).forEach(any -> latencies.add(route.name(), Duration.ofSeconds(10)));
        assertEquals(leastTime(route, true), TIMEOUT);
        IntStream.range(0, 64).forEach(any -> latencies.add(route.name(), Duration.ofMillis(50)));
        assertEquals(leastTime(route, true), Duration.ofMillis(50));
        latencies.retain(Set.of());
        assertEquals(leastTime(route, true), Duration.ofMillis(400));
    }
}
