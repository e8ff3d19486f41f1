package org.parsleydrift.bench.decisions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** The product's placement against others on the same programs. */
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

    /**
     * Symptom: in a burst nearly all programs end late. Events: programs come at nearly twice the usual rate; turns go to
     * the engine with one request less and their lines are read there anew. Cause: reading was not reckoned with.
     */
    @Test
    public void burstKeepsProgramsOnCachingEngines() {
        List<RunResult> held = runs(new Policy.HeldParts(), "burst");
        List<RunResult> oneMore = runs(new Policy.OneMore(), "burst");
        assertTrue(read(held) < 0.6 * read(oneMore), read(held) + " against " + read(oneMore));
        assertTrue(worth(held) > worth(oneMore), worth(held) + " against " + worth(oneMore));
    }

    /** The product's policy is no worse than any of the others on any of the loads. */
    @Test
    public void noOtherPolicyServesMore() {
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
    public void aSeedGivesTheSameRunAgain() {
        assertEquals(runs(new Policy.HeldParts(), "burst"), runs(new Policy.HeldParts(), "burst"));
    }

    /**
     * Symptom: in a burst engines of a large fleet refuse requests as full while others have places, and most programs are
     * late. Events: programs come at nearly twice the usual rate to 57 nodes. Cause: all nodes see the same engine as the
     * least loaded until they hear of each other's requests there, 240 ms later, and meet at it.
     */
    @Test
    public void burstDoesNotOverloadOneEngine() {
        double worth = worth(runs(new Policy.HeldParts(), "burst", FleetShape.large()));
        assertTrue(worth > 0.9, "worth " + worth);
    }
}
