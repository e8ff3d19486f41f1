package org.parsleydrift.bench.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Properties of the model of draining nodes that hold for each seed, and of the rules on small cases. */
public class DrainRunTest {
    private static final int SEEDS = 2;
    private static final DrainRule LATENCIES = new DrainRule.TargetLatencies(4, 2);
    private static final DrainRule OBSERVED = new DrainRule.ObservedLatencies(1, 0.9, LATENCIES);
    private static final List<DrainRule> ANSWERING = List.of(
            new DrainRule.AcceptAll(), new DrainRule.WholeBudget(), LATENCIES, OBSERVED, new DrainRule.RejectAll());
    private static final Roll ONE_AT_A_TIME = new Roll("one", 1, 2000);
    private static final DrainCase SLOW_WORKS = new DrainCase(5000, 0, false, 7, ONE_AT_A_TIME);

    private static List<DrainResult> runs(DrainRule rule, DrainCase settings) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> DrainRun.run(Optional.of(rule), DrainTimes.USUAL, settings, seed))
                .toList();
    }

    private static double mean(DrainRule rule, DrainCase settings, ToDoubleFunction<DrainResult> figure) {
        return runs(rule, settings).stream().mapToDouble(figure).average().orElseThrow();
    }

    /** Guards against a drain that ends connections without a response. */
    @Test
    public void onlyTheCutRuleLeavesRequestsWithoutAResponse() {
        assertTrue(mean(new DrainRule.CutAtExit(), SLOW_WORKS, DrainResult::cut) > 0);
        ANSWERING.forEach(rule -> assertEquals(mean(rule, SLOW_WORKS, DrainResult::cut), 0.0, rule.toString()));
    }

    /** Guards against requests whose outcome is unknown because a node accepted them too late. */
    @Test
    public void wholeBudgetLeavesNoOutcomeUnknown() {
        DrainCase lossy = new DrainCase(5000, 0.05, true, 7, ONE_AT_A_TIME);
        assertTrue(mean(new DrainRule.AcceptAll(), lossy, DrainResult::unknown) > 0);
        runs(new DrainRule.WholeBudget(), lossy).forEach(each -> {
            assertEquals(each.unknown(), 0.0);
            assertEquals(each.interrupted(), 0.0);
        });
    }

    /** Guards against rejections of requests that usually end in time, while no other node can take them. */
    @Test
    public void observedLatenciesServeShortWorksUntilTheListenerCloses() {
        DrainCase shortWorks = new DrainCase(200, 0, false, 2, new Roll("all", 0, 0));
        double served = mean(OBSERVED, shortWorks, DrainResult::inTime);
        assertTrue(
                served > mean(new DrainRule.WholeBudget(), shortWorks, DrainResult::inTime) + 500, "served " + served);
        assertTrue(served > mean(LATENCIES, shortWorks, DrainResult::inTime), "served " + served);
    }

    @Test
    public void eachRequestEndsOnce() {
        Stream.concat(Stream.of(new DrainRule.CutAtExit()), ANSWERING.stream())
                .flatMap(rule -> Stream.of(false, true)
                        .flatMap(full -> runs(rule, new DrainCase(0, 0.05, full, 7, ONE_AT_A_TIME)).stream()))
                .forEach(each -> assertEquals(each.inTime() + each.late() + each.failed(), 10_000, 0.01));
    }

    @Test
    public void nodesEndWithinTheirGraceTime() {
        ANSWERING.forEach(rule -> runs(rule, SLOW_WORKS).forEach(each -> {
            assertTrue(each.longestDrainMillis() <= DrainTimes.USUAL.answerMillis(), rule + " " + each);
            assertTrue(each.drainMillis() >= DrainTimes.USUAL.listenMillis(), rule + " " + each);
        }));
    }

    @Test
    public void sameSeedGivesTheSameRun() {
        assertEquals(runs(OBSERVED, SLOW_WORKS), runs(OBSERVED, SLOW_WORKS));
    }

    @Test
    public void allRulesGetTheSameRequests() {
        double requests = mean(new DrainRule.CutAtExit(), SLOW_WORKS, DrainResult::requests);
        ANSWERING.forEach(rule -> assertEquals(mean(rule, SLOW_WORKS, DrainResult::requests), requests));
    }

    /** Guards against latencies that are taken from too few or from outdated requests. */
    @Test
    public void quantileCoversTheLastRequests() {
        LatencyHistory latencies = new LatencyHistory();
        LongStream.range(0, 7).forEach(each -> latencies.add(5000));
        assertFalse(latencies.quantile(1).isPresent());
        LongStream.rangeClosed(1, 64).forEach(latencies::add);
        assertEquals(latencies.quantile(1).getAsDouble(), 64.0);
        assertEquals(latencies.quantile(0.5).getAsDouble(), 32.0);
    }
}
