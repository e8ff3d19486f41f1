package org.parsleydrift.placement.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Counting of leases by a coordinator, and the requesters' choice of it. */
public class SlotLeasesTest {
    private static final long RUNNER = 7;
    private static final int LIMIT = 2;

    private SlotLeases leases;
    private long millis;

    @BeforeMethod
    public void begin() {
        millis = 0;
        leases = new SlotLeases(0);
    }

    private LeaseAnswer acquire(String node, long number, int reportedLoad) {
        return leases.acquire(
                new LeaseId(node, 1, number),
                new SlotLeases.Request(RUNNER, LIMIT, reportedLoad, Duration.ofSeconds(3)),
                millis * 1_000_000);
    }

    private void advance(int span) {
        for (long end = millis + span; millis < end; millis += 100) {
            leases.recordLoopRun(millis * 1_000_000);
        }
    }

    /** A repeated or lost frame must neither take a second slot nor free one that another lease holds. */
    @Test
    public void repeatedFramesChangeNothing() {
        assertEquals(acquire("a", 1, 0), new LeaseAnswer(true, 1));
        assertEquals(acquire("a", 1, 0), new LeaseAnswer(true, 1));
        assertEquals(acquire("b", 1, 0), new LeaseAnswer(true, 2));
        leases.release(new LeaseId("a", 1, 1));
        leases.release(new LeaseId("a", 1, 1));
        assertEquals(acquire("a", 2, 0), new LeaseAnswer(true, 2));
        assertEquals(acquire("a", 3, 0), new LeaseAnswer(false, 2));
    }

    /** A coordinator that is new for a runner, or was paused, must not grant slots that it does not know to be used. */
    @Test
    public void reportedLoadCountsWhileCountsMayBeTooLow() {
        assertEquals(acquire("a", 1, LIMIT), new LeaseAnswer(false, LIMIT));
        advance(1000);
        assertFalse(acquire("a", 2, LIMIT).granted());
        advance(600);
        assertTrue(acquire("a", 3, LIMIT).granted());
        millis += 600;
        assertFalse(acquire("a", 4, LIMIT).granted());
        advance(1000);
        assertFalse(acquire("a", 5, LIMIT).granted());
        advance(600);
        assertTrue(acquire("a", 6, LIMIT).granted());
    }

    /** Nodes that know the same live nodes must ask the same coordinator, in the runner's zone if it has one. */
    @Test
    public void coordinatorIsOfTheRunnersZone() {
        Map<String, String> nodes = Map.of("a", "x", "b", "x", "c", "y");
        assertEquals(CoordinatorChoice.choose(nodes, "y", RUNNER), Optional.of("c"));
        Set<String> local = Set.of("a", "b");
        assertTrue(local.contains(CoordinatorChoice.choose(nodes, "x", RUNNER).orElseThrow()));
        assertTrue(
                nodes.containsKey(CoordinatorChoice.choose(nodes, "z", RUNNER).orElseThrow()));
    }

    /** A runner that rejects again and again must be tried less often, up to a bound. */
    @Test
    public void markOfFullRunnerIsDoubled() {
        RunnerSaturation saturation = new RunnerSaturation();
        long now = 0;
        for (long span : new long[] {100, 200, 400, 800, 800}) {
            saturation.recordRejection("r", now);
            saturation.recordRejection("r", now + 1);
            assertTrue(saturation.isSaturated("r", now + span * 1_000_000 - 1));
            now += span * 1_000_000;
            assertFalse(saturation.isSaturated("r", now));
        }
    }
}
