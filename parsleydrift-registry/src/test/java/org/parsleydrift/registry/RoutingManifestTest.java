package org.parsleydrift.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class RoutingManifestTest {
    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                CallKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                0,
                false,
                false,
                Duration.ZERO,
                false,
                List.of(new Destination("a", 90), new Destination("b", 10)));
    }

    private static RoutingManifest manifest(Stream<Route> routes) {
        return new RoutingManifest(1, routes.toList(), List.of(), CallerLimits.defaults());
    }

    private static String match(RoutingManifest manifest, String host, String target) {
        return manifest.match(host, target).map(Route::name).orElse("none");
    }

    @Test
    public void theLongestPrefixOfTheHostWins() {
        RoutingManifest manifest = manifest(
                Stream.of(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")));
        assertEquals(match(manifest, "h", "/a/b/c/d?x=/y/"), "long");
        assertEquals(match(manifest, "H:80", "/a/x"), "short");
        assertEquals(match(manifest, "h", "/a"), "none");
        assertEquals(match(manifest, "h", "/b/"), "none");
        assertEquals(match(manifest, "g", "/a/b/"), "none");
    }

    @Test
    public void aThousandRoutesMatchLikeOne() {
        RoutingManifest manifest =
                manifest(IntStream.range(0, 1000).mapToObj(i -> route("r" + i, "h", "/p" + i + "/")));
        assertEquals(match(manifest, "h", "/p999/x"), "r999");
    }

    @Test
    public void destinationsAreDrawnByWeight() {
        Route route = route("r", "h", "/");
        assertEquals(route.selectDestination(0.0), "a");
        assertEquals(route.selectDestination(0.89), "a");
        assertEquals(route.selectDestination(0.91), "b");
        assertTrue(route.isIdempotent());
    }
}
