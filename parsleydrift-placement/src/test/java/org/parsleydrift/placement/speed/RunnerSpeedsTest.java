package org.parsleydrift.placement.speed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunnerSpeedsTest {
    private static final long MILLI = 1_000_000L;
    private static final List<Runner> RUNNERS = IntStream.range(0, 9)
            .mapToObj(each -> new Runner("r" + each, 1, "s", "10.0.0.1:1", "z", 6, false))
            .toList();
    private static final Runner FIRST = RUNNERS.getFirst();

    private final Random random = new Random(1);
    private RunnerSpeeds speeds;
    private long now;

    @BeforeMethod
    public void begin() {
        speeds = new RunnerSpeeds(() -> true);
        now = 0;
        random.setSeed(1);
    }

    /** Completes plain calls of log-normal time at all runners; the first runner takes the factor times as long. */
    private void serveCalls(int rounds, double factor) {
        IntStream.range(0, rounds)
                .forEach(round -> RUNNERS.forEach(runner -> {
                    RunnerObservation call = speeds.begin(runner, false, 0, 0, now);
                    double millis = 50 * Math.exp(0.5 * random.nextGaussian()) * (runner.equals(FIRST) ? factor : 1);
                    call.complete(now + (long) (millis * MILLI));
                    now += 10 * MILLI;
                }));
    }

    /** Completes turns of 1 to 24 events at all runners; the first runner takes the factor times as long. */
    private void serveTurns(int rounds, double factor) {
        IntStream.range(0, rounds)
                .forEach(round -> RUNNERS.forEach(runner -> {
                    double slower = (runner.equals(FIRST) ? factor : 1) * Math.exp(0.1 * random.nextGaussian());
                    int uncached = 100 + random.nextInt(2000);
                    RunnerObservation turn = speeds.begin(runner, true, uncached, random.nextInt(6), now);
                    int events = 1 + random.nextInt(24);
                    double millis = slower * (40 + uncached / 60.0);
                    for (int event = 1; event <= events; event++) {
                        turn.recordEvents(event, now + (long) (millis * MILLI));
                        millis += slower * 41;
                    }
                    turn.complete(now + (long) (millis * MILLI));
                    now += 10 * MILLI;
                }));
    }

    private double factor(Runner runner) {
        now += RunnerSpeeds.REFRESH_NANOS;
        speeds.refresh("s", RUNNERS, now);
        return speeds.factor(runner);
    }

    /** Guards against factors from mere spread, which move requests away from cached prompts and idle runners. */
    @Test
    public void equalRunnersHaveTheFactorOne() {
        IntStream.range(0, 100).forEach(each -> {
            serveCalls(2, 1);
            RUNNERS.forEach(runner -> assertEquals(factor(runner), 1.0));
        });
        begin();
        IntStream.range(0, 100).forEach(each -> {
            serveTurns(2, 1);
            RUNNERS.forEach(runner -> assertEquals(factor(runner), 1.0));
        });
    }

    @Test
    public void slowAndFastEnginesAreRecognised() {
        serveTurns(60, 2.5);
        assertEquals(factor(FIRST), 2.5, 0.3);
        assertEquals(factor(RUNNERS.getLast()), 1.0);
        begin();
        serveTurns(60, 0.6);
        assertEquals(factor(FIRST), 0.6, 0.1);
    }

    /** Guards against judging plain runners, whose times vary a lot, by a few calls. */
    @Test
    public void plainRunnersNeedManyCalls() {
        serveCalls(12, 1);
        serveCalls(2, 2.5);
        assertEquals(factor(FIRST), 1.0);
        serveCalls(60, 2.5);
        assertTrue(factor(FIRST) > 1.8, "factor " + factor(FIRST));
    }

    /** Guards against learned factors that outlast the traffic they were learned from. */
    @Test
    public void factorIsAged() {
        serveTurns(60, 2.5);
        now += 10 * SpeedEstimate.HALF_LIFE_NANOS;
        assertEquals(factor(FIRST), 1.0);
    }

    /** A restarted runner must not inherit the factor of its predecessor. */
    @Test
    public void newIncarnationBeginsAtOne() {
        serveTurns(60, 2.5);
        Runner restarted = new Runner(FIRST.id(), 2, "s", "10.0.0.1:1", "z", 6, false);
        speeds.retainRunners(Set.of(restarted.incarnation()));
        speeds.refresh("s", List.of(restarted), now + RunnerSpeeds.REFRESH_NANOS);
        assertEquals(speeds.factor(restarted), 1.0);
        assertEquals(speeds.export(now), Map.of());
    }

    /** A runner that fails at once must not appear fast and attract requests. */
    @Test
    public void failuresAreNotFast() {
        serveTurns(30, 1);
        IntStream.range(0, 200).forEach(each -> {
            speeds.begin(FIRST, true, 500, 0, now).fail(now + MILLI);
            speeds.begin(FIRST, true, 500, 0, now).discard();
            now += MILLI;
        });
        assertTrue(factor(FIRST) >= 1, "factor " + factor(FIRST));
    }

    /** A stuck runner completes nothing, so that only the age of its open requests shows it. */
    @Test
    public void oldestOpenRequestCounts() {
        serveTurns(60, 1);
        RunnerObservation stuck = speeds.begin(FIRST, true, 500, 0, now);
        assertEquals(factor(FIRST), 1.0);
        now += 1000 * MILLI;
        assertEquals(factor(FIRST), RunnerSpeeds.MAX_FACTOR);
        assertTrue(speeds.export(now).get(RunnerKey.of(FIRST.incarnation())).meanFactor() > 1.1);
        stuck.discard();
        assertEquals(factor(FIRST), 1.0);
    }

    /** A node that sends a runner too few requests learns from its peers, and forgets what a lost peer reported. */
    @Test
    public void sumsOfPeersCount() {
        serveTurns(10, 1);
        Map<Long, SpeedSum> own = speeds.export(now);
        speeds.updatePeers(Map.of("peer", Map.of(RunnerKey.of(FIRST.incarnation()), new SpeedSum(50_000, 2.5))));
        assertEquals(factor(FIRST), 2.5, 0.2);
        assertEquals(speeds.export(now).keySet(), own.keySet());
        assertTrue(speeds.export(now).get(RunnerKey.of(FIRST.incarnation())).meanFactor() < 1.5);
        speeds.updatePeers(Map.of("peer", Map.of()));
        assertEquals(factor(FIRST), 1.0);
    }

    /** Impossible values from a peer must not reach the placement. */
    @Test
    public void impossibleSumsAreIgnored() {
        serveTurns(10, 1);
        long key = RunnerKey.of(FIRST.incarnation());
        List.of(
                        new SpeedSum(50_000, -2),
                        new SpeedSum(-5, 2.5),
                        new SpeedSum(50_000, Double.NaN),
                        new SpeedSum(50_000, Double.POSITIVE_INFINITY),
                        new SpeedSum(50_000, 60_000))
                .forEach(each -> {
                    speeds.updatePeers(Map.of("peer", Map.of(key, each)));
                    assertEquals(factor(FIRST), 1.0, each.toString());
                });
    }

    /** Cancelling calls at the percentile must not lower it, which would cancel ever more calls. */
    @Test
    public void cancelledCallsDoNotLowerThePercentile() {
        Duration target = Duration.ofMillis(900);
        assertEquals(speeds.retryDelay("s", target), target);
        serveCalls(20, 1);
        Duration before = speeds.retryDelay("s", target);
        assertEquals((double) before.toMillis(), 114, 25);
        IntStream.range(0, 5000).forEach(each -> {
            long delay = speeds.retryDelay("s", target).toNanos();
            long took = (long) (50 * MILLI * Math.exp(0.5 * random.nextGaussian()));
            RunnerObservation call = speeds.begin(RUNNERS.get(each % RUNNERS.size()), false, 0, 0, now);
            if (took > delay) {
                call.fail(now + delay);
            } else {
                call.complete(now + took);
            }
            now += 10 * MILLI;
        });
        assertTrue(speeds.retryDelay("s", target).toMillis() > 80, "delay " + speeds.retryDelay("s", target));
    }

    /** Without the switch nothing is learned, sent to peers or used. */
    @Test
    public void disabledSpeedsAreNeutral() {
        speeds = new RunnerSpeeds(() -> false);
        serveTurns(60, 2.5);
        serveCalls(60, 2.5);
        speeds.updatePeers(Map.of("peer", Map.of(RunnerKey.of(FIRST.incarnation()), new SpeedSum(50_000, 2.5))));
        assertEquals(factor(FIRST), 1.0);
        assertEquals(speeds.export(now), Map.of());
        assertEquals(speeds.generationTokens("s"), 0.0);
        assertEquals(speeds.retryDelay("s", Duration.ofMillis(5)), Duration.ofMillis(5));
    }
}
