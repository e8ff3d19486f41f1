package org.parsleydrift.bench.decisions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Compares the scheduler's placement policy with others on the same programs. */
public class DecisionRunTest {
    private static final int SEEDS = 2;

    private static List<RunResult> runs(Policy policy, String pattern) {
        return runs(policy, pattern, FleetShape.small());
    }

    private static List<RunResult> runs(Policy policy, String pattern, FleetShape shape) {
        LoadPattern load = DecisionsMain.PATTERNS.stream()
                .filter(each -> each.name().equals(pattern))
                .findFirst()
                .orElseThrow();
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> DecisionRun.run(policy, load, shape, seed))
                .toList();
    }

    private static double worth(List<RunResult> runs) {
        return runs.stream().mapToDouble(RunResult::worth).average().orElseThrow();
    }

    private static double read(List<RunResult> runs) {
        return runs.stream().mapToDouble(RunResult::readShare).average().orElseThrow();
    }

    /** Guards against placement that ignores prefill cost and moves programs away from cached prompts in a burst. */
    @Test
    public void burstKeepsProgramsOnCachingEngines() {
        List<RunResult> held = runs(new Policy.HeldParts(), "burst");
        List<RunResult> oneMore = runs(new Policy.OneMore(), "burst");
        assertTrue(read(held) < 0.6 * read(oneMore), read(held) + " against " + read(oneMore));
        assertTrue(worth(held) > worth(oneMore), worth(held) + " against " + worth(oneMore));
    }

    /** Guards against a load pattern on which a simpler policy completes more programs in time. */
    @Test
    public void noOtherPolicyScoresHigher() {
        DecisionsMain.PATTERNS.forEach(pattern -> {
            double held = worth(runs(new Policy.HeldParts(), pattern.name()));
            List.of(new Policy.RoundRobin(), new Policy.LeastLoaded(), new Policy.Sticky(), new Policy.OneMore())
                    .forEach(other -> {
                        double worth = worth(runs(other, pattern.name()));
                        assertTrue(held >= worth - 0.01, pattern.name() + " " + other + " " + held + " " + worth);
                    });
        });
    }

    @Test
    public void sameSeedGivesTheSameRun() {
        assertEquals(runs(new Policy.HeldParts(), "burst"), runs(new Policy.HeldParts(), "burst"));
    }

    /** Guards against many nodes that all choose the same least loaded engine between two load reports. */
    @Test
    public void burstDoesNotOverloadOneEngine() {
        double worth = worth(runs(new Policy.HeldParts(), "burst", FleetShape.large()));
        assertTrue(worth > 0.9, "worth " + worth);
    }

    /** Guards against learned speeds that do not make up for engines of different speeds, or harm equal ones. */
    @Test
    public void learnedSpeedsHelpUnequalEngines() {
        Policy learned = new Policy.HeldParts(true, true, 2, true);
        double without = worth(runs(new Policy.HeldParts(), "unequal", FleetShape.slowPrefill()));
        double with = worth(runs(learned, "unequal", FleetShape.slowPrefill()));
        assertTrue(with > without, with + " against " + without);
        double equal = worth(runs(new Policy.HeldParts(), "usual", FleetShape.slowPrefill()));
        double equalWith = worth(runs(learned, "usual", FleetShape.slowPrefill()));
        assertTrue(equalWith >= equal - 0.01, equalWith + " against " + equal);
    }
}
