package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Selection of the nodes that are advertised to callers. */
public class AdvertisedNodeSelectorTest {
    private static final int FLEET = 66;
    private static final int ZONES = 3;
    /** Minimum number of advertised nodes: a third of the fleet, rounded up per zone. */
    private static final int MIN_ADVERTISED = 24;

    private final AdvertisedNodeSelector selector = new AdvertisedNodeSelector();

    private static List<NodeIdentity> nodes(int count) {
        return IntStream.range(0, count)
                .mapToObj(each ->
                        new NodeIdentity("n%02d".formatted(each), "z" + each % ZONES, each + ":80", each + ":90"))
                .toList();
    }

    @Test
    public void smallFleetIsAdvertisedCompletely() {
        assertEquals(selector.select(nodes(16)), nodes(16));
    }

    /**
     * Guards against spreading a small load over all nodes of a large fleet, none of which then reuses its connections.
     */
    @Test
    public void largeFleetIsAdvertisedByLoad() {
        selector.recordLoad(120, 0);
        List<NodeIdentity> selected = selector.select(nodes(FLEET));
        assertEquals(selected.size(), MIN_ADVERTISED);
        assertTrue(
                selected.stream()
                        .collect(Collectors.groupingBy(NodeIdentity::zone, Collectors.counting()))
                        .values()
                        .stream()
                        .allMatch(each -> each == selected.size() / ZONES));
        assertFalse(selected.stream().anyMatch(each -> each.name().equals("n00")), "a hub is advertised");
    }

    /**
     * Guards against advertising too few nodes during a burst, and against removing nodes as soon as the load drops.
     */
    @Test
    public void nodesAreAddedAtOnceAndRemovedAfterARetention() {
        selector.recordLoad(120, 0);
        selector.recordLoad(360, 1);
        assertEquals(selector.select(nodes(FLEET)).size(), 45);
        selector.recordLoad(120, Duration.ofSeconds(1).toNanos());
        assertEquals(selector.select(nodes(FLEET)).size(), 45);
        selector.recordLoad(120, AdvertisedNodeSelector.PEAK_RETENTION.toNanos() + 2);
        assertEquals(selector.select(nodes(FLEET)).size(), MIN_ADVERTISED);
        selector.recordLoad(10_000, AdvertisedNodeSelector.PEAK_RETENTION.toNanos() + 3);
        assertEquals(selector.select(nodes(FLEET)).size(), FLEET);
    }

    /** Guards against leaving out the nodes of a zone that has fewer than its share. */
    @Test
    public void nodesOfASmallZoneAreAdvertised() {
        List<NodeIdentity> ready = nodes(FLEET).stream()
                .filter(each -> !each.zone().equals("z0") || each.name().equals("n63"))
                .toList();
        assertTrue(selector.select(ready).stream().anyMatch(each -> each.name().equals("n63")));
    }
}
