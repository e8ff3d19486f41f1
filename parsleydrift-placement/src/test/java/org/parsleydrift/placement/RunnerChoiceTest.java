package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.parsleydrift.registry.Runner;
import org.testng.annotations.Test;

public class RunnerChoiceTest {
    private static final int SLOTS = 4;

    private static Candidate candidate(String id, int load, boolean suspended) {
        return new Candidate(runner(id, SLOTS), load, suspended, id.startsWith("near"), 0);
    }

    private static Candidate engine(String id, int load, int uncached) {
        return new Candidate(runner(id, 16), load, false, false, uncached);
    }

    private static Runner runner(String id, int slots) {
        return new Runner(id, "s", "10.0.0.1:1", "z", slots, false);
    }

    private static String choose(Candidate... candidates) {
        return choose(0, candidates);
    }

    private static String choose(double typicalUncached, Candidate... candidates) {
        return choose(typicalUncached, false, candidates);
    }

    private static String choose(double typicalUncached, boolean anyRunner, Candidate... candidates) {
        return RunnerChoice.choose(List.of(candidates), typicalUncached, anyRunner, new Random(1))
                .map(each -> each.runner().id())
                .orElse("none");
    }

    @Test
    public void leastLoadedRunnerIsChosen() {
        assertEquals(choose(candidate("a", 2, false), candidate("b", 1, false), candidate("c", 3, false)), "b");
    }

    /** A small difference in load must not outweigh a cached prompt. */
    @Test
    public void cachedPromptOutweighsSmallLoadDifference() {
        assertEquals(choose(700, engine("cached", 14, 200), engine("other", 11, 2500)), "cached");
        assertEquals(choose(700, engine("cached", 17, 200), engine("other", 15, 2500)), "cached");
    }

    /** Computing a prompt on an idle engine delays no other request. */
    @Test
    public void idleEngineIsPreferredToBusyOneWithCachedPrompt() {
        assertEquals(choose(700, engine("cached", 14, 200), engine("idle", 0, 2500)), "idle");
    }

    /** Waiting for the engine that has cached the prompt is cheaper than computing it on a nearly full one. */
    @Test
    public void requestWaitsForFullEngineWithCachedPrompt() {
        assertEquals(choose(700, engine("cached", 20, 200), engine("other", 15, 2500)), "none");
        assertEquals(choose(700, engine("cached", 20, 200), engine("other", 3, 2500)), "other");
    }

    /** A request must not wait until its rejection for a stuck engine while others have free slots. */
    @Test
    public void anyFreeEngineIsChosenNearTimeout() {
        assertEquals(choose(700, true, engine("cached", 20, 200), engine("other", 15, 2500)), "other");
        assertEquals(choose(700, true, engine("cached", 20, 200), engine("other", 20, 2500)), "none");
    }

    /**
     * A runner in the node's zone is preferred to a less loaded remote one, unless more than half of its slots are
     * taken.
     */
    @Test
    public void runnerInSameZoneIsPreferred() {
        assertEquals(choose(candidate("a", 1, false), candidate("near", 1, false), candidate("c", 1, false)), "near");
        assertEquals(choose(candidate("a", 0, false), candidate("near", 1, false)), "near");
        assertEquals(choose(candidate("a", 0, false), candidate("near", 2, false)), "a");
        assertEquals(choose(candidate("a", 2, false), candidate("near", 2, false)), "near");
    }

    /** Among engines of equal cost the one in the node's zone is chosen. */
    @Test
    public void engineInSameZoneBreaksTies() {
        Candidate near = new Candidate(runner("near", 16), 3, false, true, 500);
        assertEquals(choose(700, engine("far", 3, 500), near), "near");
        assertEquals(choose(700, engine("far", 2, 500), near), "far");
    }

    @Test
    public void fullRunnerIsNotChosen() {
        assertEquals(choose(candidate("a", 4, false)), "none");
    }

    /** A service whose runners are all suspended must still receive requests. */
    @Test
    public void suspendedRunnerIsChosenIfAllAreSuspended() {
        assertEquals(choose(candidate("a", 0, true), candidate("b", 3, false)), "b");
        assertEquals(choose(candidate("a", 0, true), candidate("b", 1, true)), "a");
    }

    @Test
    public void suspensionGrowsWithEachFailure() {
        RunnerHealth health = new RunnerHealth();
        health.recordConnectFailure(0);
        assertTrue(health.isSuspended(100_000_000L));
        assertTrue(!health.isSuspended(300_000_000L));
        health.recordConnectFailure(300_000_000L);
        assertTrue(health.isSuspended(600_000_000L));
        health.recordSuccess();
        assertTrue(!health.isSuspended(600_000_000L));
    }
}
