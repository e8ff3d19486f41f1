package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.parsleydrift.registry.ObjectKind;
import org.testng.annotations.Test;

/** Requests of a large fleet to the platform, and the delay of changes. */
public class PlatformCallsTest {
    private static final int NODES = 95;
    private static final int ZONES = 3;
    private static final long SEEDS = 5;
    private static final int CHANGES = 20;
    /** Maximum number of requests per node and second while one object changes per second. */
    private static final double MAX_CALLS_PER_NODE_SECOND = 0.2;

    /** The same while the platform answers no node, including the retries of the watching nodes. */
    private static final double MAX_OUTAGE_CALLS_PER_NODE_SECOND = 0.5;

    /** Guards against each change causing a request of every node to renew its watch. */
    @Test
    public void callsDoNotGrowWithTheNumberOfNodes() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(30));
        long before = fleet.platform.calls();
        fleet.change(ObjectKind.RUNNERS, CHANGES, Duration.ofSeconds(1));
        double each = (double) (fleet.platform.calls() - before) / CHANGES / NODES;
        assertTrue(each <= MAX_CALLS_PER_NODE_SECOND, each + " requests per node and second");
    }

    /** Guards against every node of a full mesh forwarding each change to every other one. */
    @Test
    public void changesAreForwardedByWatchingNodesOnly() {
        MeshFleet fleet = new MeshFleet(1, 12);
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(5));
        fleet.time.advance(Duration.ofSeconds(5));
        long idleFrames = fleet.countFrames(Duration.ofMillis(320));
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1));
        long changeFrames = fleet.countFrames(Duration.ofMillis(320));
        // Three watching nodes send to eleven nodes each; a few nodes may send one additional status frame.
        long maxFrames = idleFrames + 3 * 11 + 3 * 11;
        assertTrue(changeFrames <= maxFrames, changeFrames + " frames, at most " + maxFrames);
    }

    /** All nodes receive each change although few of them watch. */
    @Test
    public void changesReachAllNodesInTime() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(30));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(200));
            fleet.time.advance(Duration.ofMillis(700));
            fleet.members
                    .values()
                    .forEach(each -> assertEquals(
                            each.latestRevisions.get(ObjectKind.MANIFEST).longValue(), fleet.platform.revision()));
        });
    }

    /** Guards against late changes when the watching nodes of all zones fail just before a change. */
    @Test
    public void changeIsKnownInTimeAfterWatchingNodesFail() {
        assertEquals(
                LongStream.range(0, SEEDS)
                        .filter(seed -> {
                            MeshFleet fleet = new MeshFleet(seed, NODES);
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(25));
                            fleet.time.advance(Duration.ofMillis(1300 + 170 * seed));
                            firstOfZones(2)
                                    .forEach(name -> fleet.members.get(name).kill());
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1 + 90 * seed));
                            return fleet.isAnyNodeLate(ObjectKind.MANIFEST);
                        })
                        .boxed()
                        .toList(),
                List.of());
    }

    /** Guards against a node that is partitioned from its peers still relying on them to watch. */
    @Test
    public void partitionedNodeWatches() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(25));
        MeshMember partitioned = fleet.members.get("n77");
        partitioned.disconnected = true;
        fleet.time.advance(Duration.ofSeconds(2));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(300));
            fleet.time.advance(MeshFleet.MAX_CHANGE_DELAY);
            assertEquals(partitioned.latestRevisions.get(ObjectKind.MANIFEST).longValue(), fleet.platform.revision());
        });
    }

    /** Guards against relying on watching nodes that the platform rejects. */
    @Test
    public void rejectedNodesLeaveWatchingToOthers() {
        MeshFleet fleet = new MeshFleet(1, 0);
        int rejected = 4 * ZONES;
        IntStream.range(0, rejected).forEach(number -> fleet.add(number, number, new RejectingObjects()));
        IntStream.range(rejected, NODES).forEach(number -> fleet.add(number, number));
        fleet.introduceAll();
        fleet.time.advance(Duration.ofSeconds(30));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(300));
            assertFalse(fleet.isAnyNodeLate(ObjectKind.MANIFEST));
        });
    }

    /** Guards against all nodes retrying their watches when the platform answers none of them. */
    @Test
    public void outageDoesNotMakeEveryNodeRetry() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(20));
        long before = fleet.platform.calls();
        fleet.platform.down(true);
        fleet.time.advance(Duration.ofSeconds(5));
        double each = (double) (fleet.platform.calls() - before) / 5 / NODES;
        assertTrue(each <= MAX_OUTAGE_CALLS_PER_NODE_SECOND, each + " requests per node and second");
        fleet.platform.down(false);
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1));
        assertFalse(fleet.isAnyNodeLate(ObjectKind.MANIFEST));
    }

    private static List<String> firstOfZones(int each) {
        return IntStream.range(0, each * ZONES).mapToObj("n%02d"::formatted).toList();
    }
}
