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

/** A large fleet asks the platform by zones and not by nodes, and still knows changes in time. */
public class PlatformCallsTest {
    private static final int NODES = 95;
    private static final int ZONES = 3;
    private static final long SEEDS = 5;
    private static final int CHANGES = 20;
    /** Calls a node and second that a fleet may make while the platform's objects change once a second. */
    private static final double MOST_CALLS = 0.2;

    /**
     * Symptom: the calls to the platform cost a fleet more than its processors. Events: runners come and go, once a second.
     * Cause: each change answers each node's watch, and each node asks anew.
     */
    @Test
    public void callsAreAMatterOfZones() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(30));
        long before = fleet.platform.calls();
        fleet.change(ObjectKind.RUNNERS, CHANGES, Duration.ofSeconds(1));
        double each = (double) (fleet.platform.calls() - before) / CHANGES / NODES;
        assertTrue(each <= MOST_CALLS, each + " calls a node and second");
    }

    /**
     * Symptom: in a fleet without hubs a change costs more frames than requests do. Events: an operator changes the
     * manifest. Cause: each node that learns of it passes it on to each other one.
     */
    @Test
    public void aChangeIsPassedOnByThoseWhoWatch() {
        MeshFleet fleet = new MeshFleet(1, 12);
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(5));
        fleet.time.advance(Duration.ofSeconds(5));
        long quiet = fleet.frames(Duration.ofMillis(320));
        fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1));
        long changed = fleet.frames(Duration.ofMillis(320));
        // Three watchers tell eleven nodes each; a few nodes may tell their state once more for it.
        long most = quiet + 3 * 11 + 3 * 11;
        assertTrue(changed <= most, changed + " frames of " + most);
    }

    /** Every node knows each change well in time though few of them watch. */
    @Test
    public void allNodesKnowAChangeSoon() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(30));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(200));
            fleet.time.advance(Duration.ofMillis(700));
            fleet.members
                    .values()
                    .forEach(each ->
                            assertEquals(each.newest.get(ObjectKind.MANIFEST).longValue(), fleet.platform.revision()));
        });
    }

    /**
     * Symptom: changes are known late. Events: the nodes that watch for their zones are killed, and a change comes right
     * after, at any moment. Cause: nobody watches until they are missed.
     */
    @Test
    public void aChangeRightAfterTheWatchingNodesDiedIsKnownInTime() {
        assertEquals(
                LongStream.range(0, SEEDS)
                        .filter(seed -> {
                            MeshFleet fleet = new MeshFleet(seed, NODES);
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofSeconds(25));
                            fleet.time.advance(Duration.ofMillis(1300 + 170 * seed));
                            firstOfZones(2)
                                    .forEach(name -> fleet.members.get(name).kill());
                            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(1 + 90 * seed));
                            return fleet.someNodeIsLate(ObjectKind.MANIFEST);
                        })
                        .boxed()
                        .toList(),
                List.of());
    }

    /**
     * Symptom: a node that reaches the platform alone learns of nothing. Events: it is cut off from its peers, which watched
     * for it. Cause: it leaves the watching to nodes that it doesn't hear any more.
     */
    @Test
    public void aNodeThatIsCutOffFromItsPeersWatchesByItself() {
        MeshFleet fleet = new MeshFleet(1, NODES);
        fleet.time.advance(Duration.ofSeconds(25));
        MeshMember alone = fleet.members.get("n77");
        alone.cut = true;
        fleet.time.advance(Duration.ofSeconds(2));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(300));
            fleet.time.advance(MeshFleet.BOUND);
            assertEquals(alone.newest.get(ObjectKind.MANIFEST).longValue(), fleet.platform.revision());
        });
    }

    /** Where the platform turns the first nodes of each zone away, others watch. */
    @Test
    public void nodesThatAreTurnedAwayLeaveTheWatchingToOthers() {
        MeshFleet fleet = new MeshFleet(1, 0);
        int refused = 4 * ZONES;
        IntStream.range(0, refused).forEach(number -> fleet.add(number, number, new RefusingObjects()));
        IntStream.range(refused, NODES).forEach(number -> fleet.add(number, number));
        fleet.introduce();
        fleet.time.advance(Duration.ofSeconds(30));
        IntStream.range(0, CHANGES).forEach(change -> {
            fleet.change(ObjectKind.MANIFEST, 1, Duration.ofMillis(300));
            assertFalse(fleet.someNodeIsLate(ObjectKind.MANIFEST));
        });
    }

    private static List<String> firstOfZones(int each) {
        return IntStream.range(0, each * ZONES).mapToObj("n%02d"::formatted).toList();
    }
}
