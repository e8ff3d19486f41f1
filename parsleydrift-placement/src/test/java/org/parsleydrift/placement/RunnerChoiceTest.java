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

    private static Candidate engine(String id, int load, int missing) {
        return new Candidate(runner(id, 16), load, false, false, missing);
    }

    private static Runner runner(String id, int slots) {
        return new Runner(id, "s", "10.0.0.1:1", "z", slots, false);
    }

    private static String choose(Candidate... candidates) {
        return choose(0, candidates);
    }

    private static String choose(double usualMissing, Candidate... candidates) {
        return choose(usualMissing, false, candidates);
    }

    private static String choose(double usualMissing, boolean anywhere, Candidate... candidates) {
        return RunnerChoice.choose(List.of(candidates), usualMissing, anywhere, new Random(1))
                .map(each -> each.runner().id())
                .orElse("none");
    }

    @Test
    public void theLeastLoadedIsTaken() {
        assertEquals(choose(candidate("a", 2, false), candidate("b", 1, false), candidate("c", 3, false)), "b");
    }

    /**
     * Symptom: engines that are full spend a third of their time reading prompts that another one holds. Events: a burst
     * fills all engines; each turn goes to the one with a request less than its own. Cause: a difference of one request
     * went before any amount of reading.
     */
    @Test
    public void atBusyEnginesALineStaysWhereItIsHeld() {
        assertEquals(choose(700, engine("held", 14, 200), engine("other", 11, 2500)), "held");
        assertEquals(choose(700, engine("held", 17, 200), engine("other", 15, 2500)), "held");
    }

    /** Reading beside nobody costs nobody but the request itself. */
    @Test
    public void anIdleEngineReadsAnewRatherThanJoiningAFullOne() {
        assertEquals(choose(700, engine("held", 14, 200), engine("idle", 0, 2500)), "idle");
    }

    /** A place that will be free within some tens of ms is worth the wait; a place elsewhere would be read into anew. */
    @Test
    public void aLineWaitsForItsFullEngineWhileOthersAreNearlyFull() {
        assertEquals(choose(700, engine("held", 20, 200), engine("other", 15, 2500)), "none");
        assertEquals(choose(700, engine("held", 20, 200), engine("other", 3, 2500)), "other");
    }

    /**
     * Symptom: a line is refused for want of room while engines have places. Events: its engine gets stuck with all places
     * taken. Cause: the line waits for it alone.
     */
    @Test
    public void aFullEngineIsNotWaitedForWithoutEnd() {
        assertEquals(choose(700, true, engine("held", 20, 200), engine("other", 15, 2500)), "other");
        assertEquals(choose(700, true, engine("held", 20, 200), engine("other", 20, 2500)), "none");
    }

    /** A near runner with places is taken before a far one with fewer requests; a fuller one is not. */
    @Test
    public void plainCallsStayInTheirZoneWhileItsRunnersHavePlaces() {
        assertEquals(choose(candidate("a", 1, false), candidate("near", 1, false), candidate("c", 1, false)), "near");
        assertEquals(choose(candidate("a", 0, false), candidate("near", 1, false)), "near");
        assertEquals(choose(candidate("a", 0, false), candidate("near", 2, false)), "a");
        assertEquals(choose(candidate("a", 2, false), candidate("near", 2, false)), "near");
    }

    /** Among engines that would read the same beside as many requests, the near one is taken. */
    @Test
    public void amongEqualEnginesTheNearOneGoesFirst() {
        Candidate near = new Candidate(runner("near", 16), 3, false, true, 500);
        assertEquals(choose(700, engine("far", 3, 500), near), "near");
        assertEquals(choose(700, engine("far", 2, 500), near), "far");
    }

    @Test
    public void fullRunnersGetNothing() {
        assertEquals(choose(candidate("a", 4, false)), "none");
    }

    /** Symptom: a whole service gets no request after a shared fault. Cause: all its runners are left alone at once. */
    @Test
    public void whenAllHaveFailedOneIsTried() {
        assertEquals(choose(candidate("a", 0, true), candidate("b", 3, false)), "b");
        assertEquals(choose(candidate("a", 0, true), candidate("b", 1, true)), "a");
    }

    @Test
    public void aRunnerThatCannotBeReachedRestsLongerEachTime() {
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
