package org.parsleydrift.bench.drain;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.parsleydrift.bench.decisions.VirtualTime;

/** One run of a case with a rule: the same requests arrive whatever the rule is. */
final class DrainRun {
    private static final double REQUESTS_PER_SECOND = 6;
    private static final int CALLERS_PER_NODE = 10;
    private static final double WARM_UP_MILLIS = 15_000;
    /** Time after the last drain in which open requests end, ms. */
    private static final double TAIL_MILLIS = 7000;
    /** Load as a share of the capacity of full runners. */
    private static final double FULL_LOAD = 0.95;

    /** Times that callers keep an address list, each equally frequent, ms. */
    private static final double[] LIST_MILLIS = {1000, 1000, 1000, 1000, 1000, 1000, 1000, 3000, 3000, 5000};

    private DrainRun() {}

    /**
     * Runs a case.
     *
     * @param rule rule of the draining nodes; empty if no node drains
     */
    static DrainResult run(Optional<DrainRule> rule, DrainTimes times, DrainCase settings, long seed) {
        VirtualTime time = new VirtualTime();
        Random arrivals = new Random(seed);
        RandomGenerator choices = new SplittableRandom(seed);
        DrainTally tally = new DrainTally();
        int slots = settings.full() ? slots(settings) : Integer.MAX_VALUE;
        ModelFleet fleet =
                new ModelFleet(time, rule.orElse(new DrainRule.AcceptAll()), times, tally, settings.nodes(), slots);
        List<ModelCaller> callers = IntStream.range(0, settings.nodes() * CALLERS_PER_NODE)
                .mapToObj(each -> new ModelCaller(
                        fleet, LIST_MILLIS[each % LIST_MILLIS.length], choices.nextDouble(), settings.lostShare()))
                .toList();
        double end = WARM_UP_MILLIS
                + settings.roll().signalMillis(settings.nodes() - 1)
                + times.graceMillis()
                + DrainTimes.RESTART_MILLIS;
        new Load(time, arrivals, settings, callers, end).scheduleNext();
        if (rule.isPresent()) {
            for (int each = 0; each < settings.nodes(); each++) {
                time.schedule(
                        WARM_UP_MILLIS + settings.roll().signalMillis(each),
                        fleet.nodes().get(each)::terminate);
            }
        }
        time.runUntil(end + TAIL_MILLIS);
        return tally.result();
    }

    private static int slots(DrainCase settings) {
        double meanWork = eligibleKinds(settings).stream()
                .mapToDouble(
                        kind -> Arrays.stream(settings.works(kind)).average().orElseThrow())
                .average()
                .orElseThrow();
        return (int) Math.ceil(settings.nodes() * REQUESTS_PER_SECOND * meanWork / 1000 / FULL_LOAD);
    }

    private static List<RequestKind> eligibleKinds(DrainCase settings) {
        return RequestKind.ALL.stream()
                .filter(kind -> settings.works(kind).length > 0)
                .toList();
    }

    /** The requests of the callers, which arrive at random times. */
    private record Load(
            VirtualTime time,
            Random random,
            DrainCase settings,
            List<RequestKind> kinds,
            List<ModelCaller> callers,
            double endMillis) {
        private Load(VirtualTime time, Random random, DrainCase settings, List<ModelCaller> callers, double endMillis) {
            this(time, random, settings, eligibleKinds(settings), callers, endMillis);
        }

        private void scheduleNext() {
            double meanGap = 1000 / (REQUESTS_PER_SECOND * settings.nodes());
            double gap = -Math.log(1 - random.nextDouble()) * meanGap;
            if (time.millis() + gap < endMillis) {
                time.schedule(gap, this::arrive);
            }
        }

        private void arrive() {
            RequestKind kind = kinds.get(random.nextInt(kinds.size()));
            double[] works = settings.works(kind);
            double work = works[random.nextInt(works.length)] * (0.9 + 0.2 * random.nextDouble());
            int attempts = random.nextBoolean() ? 2 : 3;
            boolean counted = time.millis() >= WARM_UP_MILLIS;
            ModelRequest request = new ModelRequest(
                    kind, work, time.millis(), attempts, counted, new SplittableRandom(random.nextLong()));
            callers.get(random.nextInt(callers.size())).send(request);
            scheduleNext();
        }
    }
}
