package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.parsleydrift.registry.ObjectKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against stale objects after an outage of the platform in which connections stay open and nothing is answered:
 * watches sent during the outage are never answered, so changes made after it would be missed until they time out.
 */
public class OutageRecoveryTest {
    private static final long SEEDS = 100;

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{ObjectKind.MANIFEST}, {ObjectKind.RUNNERS}};
    }

    @Test(dataProvider = "kinds")
    public void changeIsKnownInTimeAfterAnOutage(ObjectKind kind) {
        assertEquals(
                lateSeeds(seed -> {
                    MeshFleet fleet = new MeshFleet(seed);
                    fleet.change(kind, 3, Duration.ofSeconds(2));
                    fleet.time.advance(Duration.ofSeconds(1));
                    fleet.platform.silent(true);
                    fleet.time.advance(Duration.ofMillis(9300));
                    fleet.platform.silent(false);
                    fleet.time.advance(Duration.ofMillis(300));
                    fleet.change(kind, 5, Duration.ofMillis(32));
                    return fleet.isAnyNodeLate(kind);
                }),
                List.of());
    }

    /** The same when all existing connections die at once while new ones work. */
    @Test(dataProvider = "kinds")
    public void changeIsKnownInTimeAfterAllConnectionsDied(ObjectKind kind) {
        assertEquals(
                lateSeeds(seed -> {
                    MeshFleet fleet = new MeshFleet(seed);
                    fleet.change(kind, 3, Duration.ofSeconds(2));
                    fleet.time.advance(Duration.ofMillis(500));
                    fleet.platform.loseWatches();
                    fleet.change(kind, 1, Duration.ofMillis(20));
                    return fleet.isAnyNodeLate(kind);
                }),
                List.of());
    }

    /** Random sequences of outages and dead connections, followed by changes after each. */
    @Test
    public void changesAreKnownInTimeAfterRepeatedOutages() {
        assertEquals(
                lateSeeds(seed -> {
                    MeshFleet fleet = new MeshFleet(seed);
                    Random random = new Random(seed);
                    return IntStream.range(0, 4).anyMatch(round -> {
                        fleet.time.advance(Duration.ofMillis(random.nextInt(5000)));
                        if (random.nextBoolean()) {
                            fleet.platform.loseWatches();
                        } else {
                            fleet.platform.silent(true);
                            fleet.time.advance(Duration.ofMillis(random.nextInt(12_000)));
                            fleet.platform.silent(false);
                        }
                        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1 + random.nextInt(1000)));
                        return fleet.isAnyNodeLate(ObjectKind.MANIFEST);
                    });
                }),
                List.of());
    }

    /** The same in a fleet of 60 nodes with hubs. */
    @Test
    public void changeIsKnownInTimeInAFleetWithHubs() {
        assertEquals(
                LongStream.range(0, 5)
                        .filter(seed -> {
                            MeshFleet fleet = new MeshFleet(seed, 60);
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(2));
                            fleet.time.advance(Duration.ofMillis(500));
                            fleet.platform.loseWatches();
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(20));
                            return fleet.isAnyNodeLate(ObjectKind.MANIFEST);
                        })
                        .boxed()
                        .toList(),
                List.of());
    }

    /**
     * Guards against staleness that shrinks as it is relayed between nodes, which would end and restart an outage
     * repeatedly.
     */
    @Test
    public void relayedStalenessDoesNotShrink() {
        MeshFleet fleet = new MeshFleet(1);
        fleet.platform.silent(true);
        Duration outage = Duration.ofSeconds(10);
        fleet.time.advance(outage);
        fleet.members.values().forEach(each -> {
            Duration staleness = each.watched.get(ObjectKind.MANIFEST).staleness();
            assertTrue(staleness.compareTo(outage) >= 0, each.identity.name() + " has staleness " + staleness);
            assertEquals(each.outages, 2, "outages detected, of two kinds");
        });
    }

    /** Guards against a node without any answer from the platform ending the outage for its peers. */
    @Test
    public void nodeStartedDuringAnOutageDoesNotEndIt() {
        MeshFleet fleet = new MeshFleet(1);
        fleet.platform.silent(true);
        fleet.time.advance(Duration.ofSeconds(5));
        fleet.add(fleet.members.size(), 99);
        fleet.members
                .values()
                .forEach(each -> fleet.members.values().forEach(other -> each.mesh.addPeer(other.identity)));
        fleet.time.advance(Duration.ofSeconds(1));
        Duration staleness =
                fleet.members.get("n00").watched.get(ObjectKind.MANIFEST).staleness();
        assertTrue(staleness.compareTo(Duration.ofSeconds(6)) >= 0, "staleness " + staleness);
    }

    /**
     * Guards against nodes that the platform rejects being given precedence for checks, which would let the copies
     * become stale.
     */
    @Test
    public void rejectedNodesLeaveChecksToOthers() {
        MeshFleet fleet = new MeshFleet(1, 0);
        IntStream.range(0, 3).forEach(number -> fleet.add(number, number, new RejectingObjects()));
        IntStream.range(3, 7).forEach(number -> fleet.add(number, number));
        fleet.introduceAll();
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(1));
        fleet.time.advance(Duration.ofSeconds(20));
        fleet.members
                .values()
                .forEach(each -> assertEquals(each.outages, 0, "outages detected by " + each.identity.name()));
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1));
        assertFalse(fleet.isAnyNodeLate(ObjectKind.MANIFEST));
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {7}, {60}};
    }

    /** Guards against a number of checks that grows with the number of nodes, also during an outage. */
    @Test(dataProvider = "sizes")
    public void checksDoNotGrowWithTheNumberOfNodes(int nodes) {
        MeshFleet fleet = new MeshFleet(1, nodes);
        Duration span = Duration.ofSeconds(20);
        long before = fleet.platform.checks();
        fleet.time.advance(span);
        long normalChecks = fleet.platform.checks() - before;
        fleet.platform.silent(true);
        fleet.time.advance(span);
        long outageChecks = fleet.platform.checks() - before - normalChecks;
        // One check per second for each of two kinds. During an outage a node checks the less often the more nodes
        // precede it, which adds up to the logarithm of their number.
        assertTrue(normalChecks <= 2 * 1.2 * span.toSeconds(), "checks " + normalChecks);
        assertTrue(outageChecks <= 2 * 7 * span.toSeconds(), "checks during an outage " + outageChecks);
    }

    private static List<Long> lateSeeds(LongPredicate late) {
        return LongStream.range(0, SEEDS).filter(late).boxed().toList();
    }
}
