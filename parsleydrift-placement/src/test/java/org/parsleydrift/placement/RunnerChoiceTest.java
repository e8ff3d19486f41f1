package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.parsleydrift.registry.Runner;
import org.testng.annotations.Test;

public class RunnerChoiceTest {
    private static Candidate candidate(String id, int load, boolean suspended) {
        return new Candidate(new Runner(id, "s", "10.0.0.1:1", "z", 4, false), load, suspended, id.startsWith("near"));
    }

    private static String choose(String warm, Candidate... candidates) {
        return RunnerChoice.choose(List.of(candidates), warm, new Random(1))
                .map(each -> each.runner().id())
                .orElse("none");
    }

    @Test
    public void theLeastLoadedIsTaken() {
        assertEquals(choose("", candidate("a", 2, false), candidate("b", 1, false), candidate("c", 3, false)), "b");
    }

    @Test
    public void aWarmRunnerIsWorthOneRequestMore() {
        assertEquals(choose("a", candidate("a", 2, false), candidate("b", 1, false)), "a");
        assertEquals(choose("a", candidate("a", 3, false), candidate("b", 1, false)), "b");
    }

    @Test
    public void amongEqualsTheNearOneGoesFirst() {
        assertEquals(
                choose("", candidate("a", 1, false), candidate("near", 1, false), candidate("c", 1, false)), "near");
        assertEquals(choose("", candidate("a", 0, false), candidate("near", 1, false)), "a");
    }

    @Test
    public void fullRunnersGetNothing() {
        assertEquals(choose("a", candidate("a", 4, false)), "none");
    }

    /** Symptom: a whole service gets no request after a shared fault. Cause: all its runners are left alone at once. */
    @Test
    public void whenAllHaveFailedOneIsTried() {
        assertEquals(choose("", candidate("a", 0, true), candidate("b", 3, false)), "b");
        assertEquals(choose("", candidate("a", 0, true), candidate("b", 1, true)), "a");
    }

    @Test
    public void aRunnerThatCannotBeReachedRestsLongerEachTime() {
        RunnerHealth health = new RunnerHealth();
        health.unreachable(0);
        assertTrue(health.suspended(100_000_000L));
        assertTrue(!health.suspended(300_000_000L));
        health.unreachable(300_000_000L);
        assertTrue(health.suspended(600_000_000L));
        health.answered();
        assertTrue(!health.suspended(600_000_000L));
    }
}
