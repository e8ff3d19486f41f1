package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
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
        return RunnerChoice.choose(
                        List.of(candidates), new TypicalRequest(typicalUncached, 0), anyRunner, new Random(1))
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

    private static Candidate engine(String id, int load, int uncached, double timeFactor) {
        return new Candidate(runner(id, 16), load, false, false, uncached, timeFactor);
    }

    private static String chooseWithGeneration(Candidate... candidates) {
        return RunnerChoice.choose(List.of(candidates), new TypicalRequest(700, 2000), false, new Random(1))
                .map(each -> each.runner().id())
                .orElse("none");
    }

    /** Guards against a change of placement where all runners are alike; the hashes are those of earlier choices. */
    @Test
    public void equalRunnersAreChosenAsWithoutSpeeds() {
        assertEquals(hashOfChoices(new TypicalRequest(0, 0)), List.of(-919_987_017, 363_759_942));
        assertEquals(hashOfChoices(new TypicalRequest(700, 0)), List.of(917_475_661, -1_566_215_595));
        assertEquals(hashOfChoices(new TypicalRequest(700, 2000)), List.of(917_475_661, -1_566_215_595));
    }

    private static List<Integer> hashOfChoices(TypicalRequest typical) {
        Random input = new Random(5);
        Random random = new Random(6);
        int hash = IntStream.range(0, 2000)
                .mapToObj(request -> {
                    List<Candidate> candidates = IntStream.range(0, 12)
                            .mapToObj(each -> new Candidate(
                                    runner("r" + each, 6),
                                    input.nextInt(9),
                                    input.nextInt(10) == 0,
                                    each % 3 == 0,
                                    !typical.hasPrompt() ? 0 : input.nextInt(4) == 0 ? 200 : 2500))
                            .toList();
                    return RunnerChoice.choose(candidates, typical, request % 10 == 0, random)
                            .map(each -> each.runner().id())
                            .orElse("none");
                })
                .mapToInt(String::hashCode)
                .reduce(0, (sum, each) -> 31 * sum + each);
        return List.of(hash, random.nextInt());
    }

    /** Guards against ignoring speed among idle engines, and against recomputing a prompt for a small difference. */
    @Test
    public void fasterIdleEngineIsPreferredUnlessPromptIsCachedElsewhere() {
        assertEquals(chooseWithGeneration(engine("slow", 0, 500, 1.4), engine("fast", 0, 500, 0.6)), "fast");
        assertEquals(chooseWithGeneration(engine("cached", 0, 100, 1.0), engine("fast", 0, 2500, 0.8)), "cached");
        assertEquals(chooseWithGeneration(engine("cached", 0, 400, 2.5), engine("fast", 0, 1000, 0.6)), "fast");
    }

    /** Guards against nodes that all fill the few fast runners while slower ones are idle. */
    @Test
    public void loadOutweighsSpeed() {
        assertEquals(chooseWithGeneration(engine("slow", 1, 500, 1.0), engine("fast", 8, 500, 0.6)), "slow");
        Candidate slow = new Candidate(runner("slow", SLOTS), 0, false, false, 0, 1.0);
        Candidate fast = new Candidate(runner("fast", SLOTS), 2, false, false, 0, 0.6);
        assertEquals(choose(slow, fast), "slow");
        assertEquals(choose(slow, new Candidate(fast.runner(), 0, false, false, 0, 0.6)), "fast");
    }

    /** Guards against a slow runner that gets no requests, so that its recovery is never seen. */
    @Test
    public void slowRunnerKeepsSomeRequests() {
        Random random = new Random(1);
        List<Candidate> candidates = List.of(engine("slow", 0, 500, 4), engine("fast", 0, 500, 1));
        long slow = IntStream.range(0, 10_000)
                .filter(each -> RunnerChoice.choose(candidates, new TypicalRequest(700, 2000), false, random)
                        .orElseThrow()
                        .equals(candidates.getFirst()))
                .count();
        assertTrue(slow > 100 && slow < 500, "requests at the slow runner: " + slow);
    }
}
