package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptCacheIndex;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.placement.RunnerChoice;
import org.parsleydrift.placement.TypicalRequest;
import org.parsleydrift.placement.fleet.SlotRequest;

/** An entry node that queues turns and places them by its own view of the fleet. */
final class ContentionNode {
    /** Weight of the latest placement in the moving average of uncached tokens. */
    private static final double UNCACHED_MEAN_WEIGHT = 0.05;
    /** Share of its remaining time that a turn waits, and its limit, ms. */
    private static final double WAIT_SHARE = 0.35;

    private static final double MAX_WAIT_MILLIS = 900;
    private static final double MIN_WAIT_MILLIS = 50;
    /** Share of the maximum wait after which a turn is placed on any engine with a free slot. */
    private static final double CACHE_WAIT_SHARE = 0.8;
    /** Number of turns in a row that find no engine after which the others are not tried. */
    private static final int MAX_FAILED_PLACEMENTS = 12;
    /** Slots per request that may queue at an engine, as {@link RunnerChoice} has it. */
    private static final int SLOTS_PER_QUEUED_REQUEST = 4;
    /** Share of the slots reserved for the better rank. */
    private static final double RESERVED_SHARE = 0.05;
    /** Age at which the cached parts of a waiting turn are looked up again, ms. */
    private static final double LOOKUP_MILLIS = 100;

    private final ContentionRun run;
    private final int number;
    private final int[] open;
    private final PromptCacheIndex memory = new PromptCacheIndex();
    private final List<ContentionRun.Turn> waiting = new ArrayList<>();
    private final Map<ContentionRun.Turn, Lookup> lookups = new HashMap<>();
    private final Optional<CoordinatorLink.Port> port;
    private double meanUncachedTokens = 300;
    private double share = Double.MAX_VALUE;

    /** Uncached tokens of a turn by engine, and when they were looked up. */
    private record Lookup(int[] uncached, double atMillis) {}

    ContentionNode(ContentionRun run, int number) {
        this.run = run;
        this.number = number;
        this.open = new int[run.runners.size()];
        this.port = run.coordinator.map(each -> each.new Port("node" + number, state(), this::useGrant));
    }

    /** Returns the open requests by engine, followed by the waiting ones by rank. */
    int[] counters() {
        int[] counters = new int[open.length + RankedProgram.RANKS];
        System.arraycopy(open, 0, counters, 0, open.length);
        waiting.forEach(each -> counters[open.length + each.program.rank()]++);
        return counters;
    }

    void add(ContentionRun.Turn turn) {
        waiting.add(turn);
        double maxWait = maxWait(turn);
        run.time.schedule(maxWait * CACHE_WAIT_SHARE, () -> {
            if (waiting.contains(turn)) {
                dispatch();
            }
        });
        run.time.schedule(maxWait, () -> {
            if (waiting.remove(turn)) {
                lookups.remove(turn);
                run.reject(turn);
                port.ifPresent(CoordinatorLink.Port::changed);
            }
        });
        dispatch();
    }

    void viewsChanged() {
        port.ifPresent(CoordinatorLink.Port::keepAlive);
        if (run.policy == SlotPolicy.SHARE) {
            int free = Math.max(0, freeSlots());
            int others = IntStream.range(0, RankedProgram.RANKS)
                    .map(rank -> run.exchange.others(number, open.length + rank))
                    .sum();
            double part = free * (waiting.size() + 1.0) / (waiting.size() + 1.0 + others);
            // The fraction is rounded at random, so that many nodes with less than one slot each do not idle it.
            share = Math.floor(part + run.random.nextDouble());
        }
        dispatch();
    }

    private void dispatch() {
        if (port.isPresent()) {
            port.get().changed();
            return;
        }
        if (waiting.isEmpty() || !hasRoom(0)) {
            return;
        }
        int failed = 0;
        for (ContentionRun.Turn turn : waiting.stream().sorted(order()).toList()) {
            if (failed >= MAX_FAILED_PLACEMENTS) {
                return;
            }
            failed = place(turn) ? 0 : failed + 1;
        }
    }

    private Comparator<ContentionRun.Turn> order() {
        Comparator<ContentionRun.Turn> byRank = Comparator.comparingInt(each -> each.program.rank());
        Comparator<ContentionRun.Turn> byProgress = Comparator.comparing(each -> !each.started);
        Comparator<ContentionRun.Turn> byArrival = Comparator.comparingDouble(each -> each.sinceMillis);
        return run.policy == SlotPolicy.TODAY
                ? byProgress.thenComparing(byRank).thenComparing(byArrival)
                : byRank.thenComparing(byProgress).thenComparing(byArrival);
    }

    private boolean place(ContentionRun.Turn turn) {
        if (run.policy == SlotPolicy.SHARE && share < 1) {
            return false;
        }
        int kept = slotsLeftToBetter(turn);
        if (!hasRoom(kept)) {
            return false;
        }
        int[] uncached = lookUp(turn);
        List<Candidate> candidates = IntStream.range(0, open.length)
                .mapToObj(
                        // A higher load lowers the limit up to which the choice uses a runner.
                        engine -> new Candidate(
                                run.runners.get(engine),
                                load(engine) + kept,
                                turn.excluded.contains(engine),
                                false,
                                uncached[engine]))
                .toList();
        Optional<Candidate> chosen = RunnerChoice.choose(
                candidates, new TypicalRequest(meanUncachedTokens, 0), isWaitNearlyOver(turn), run.random);
        return chosen.isPresent() && take(turn, candidates.indexOf(chosen.get()), uncached);
    }

    private boolean take(ContentionRun.Turn turn, int engine, int[] uncached) {
        boolean taken = run.send(turn, engine, () -> {
            open[engine]--;
            share++;
            dispatch();
        });
        if (taken) {
            waiting.remove(turn);
            lookups.remove(turn);
            open[engine]++;
            share--;
            meanUncachedTokens += UNCACHED_MEAN_WEIGHT * (uncached[engine] - meanUncachedTokens);
            memory.recordSent(run.runners.get(engine).incarnation(), turn.prompt, run.time.nanos());
        }
        return taken;
    }

    /** Returns by how many slots the limit of an engine is lower for this turn than for one of the best rank. */
    private int slotsLeftToBetter(ContentionRun.Turn turn) {
        if (run.policy != SlotPolicy.RESERVED || turn.program.rank() == 0) {
            return 0;
        }
        boolean betterWaits = waiting.stream().anyMatch(each -> each.program.rank() == 0)
                || run.exchange.others(number, open.length) > 0;
        return betterWaits || freeSlots() < RESERVED_SHARE * run.slots * open.length ? 2 : 1;
    }

    private static double maxWait(ContentionRun.Turn turn) {
        double left = turn.deadlineMillis - turn.sinceMillis;
        return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, WAIT_SHARE * left));
    }

    private boolean isWaitNearlyOver(ContentionRun.Turn turn) {
        return run.time.millis() - turn.sinceMillis >= maxWait(turn) * CACHE_WAIT_SHARE;
    }

    private CoordinatorLink.PortState state() {
        return new CoordinatorLink.PortState() {
            @Override
            public Map<String, Integer> open() {
                return IntStream.range(0, open.length)
                        .filter(engine -> open[engine] > 0)
                        .boxed()
                        .collect(Collectors.toMap(
                                engine -> run.runners.get(engine).incarnation(), engine -> open[engine]));
            }

            @Override
            public List<SlotRequest> waiting() {
                return waiting.stream().map(ContentionNode.this::request).toList();
            }
        };
    }

    private SlotRequest request(ContentionRun.Turn turn) {
        int total = turn.prompt.stream().mapToInt(PromptPart::tokens).sum();
        int[] uncached = lookUp(turn);
        Map<String, Integer> cached = IntStream.range(0, open.length)
                .filter(engine -> uncached[engine] < total)
                .boxed()
                .collect(Collectors.toMap(
                        engine -> run.runners.get(engine).incarnation(), engine -> total - uncached[engine]));
        return new SlotRequest(
                turn.id(),
                turn.program.rank(),
                turn.started,
                (long) (run.time.millis() - turn.sinceMillis),
                isWaitNearlyOver(turn),
                total,
                cached);
    }

    private void useGrant(String request, String incarnation) {
        waiting.stream()
                .filter(each -> each.id().equals(request))
                .findFirst()
                .ifPresent(turn -> IntStream.range(0, open.length)
                        .filter(engine -> run.runners.get(engine).incarnation().equals(incarnation))
                        .forEach(engine -> take(turn, engine, lookUp(turn))));
        port.orElseThrow().changed();
    }

    /** Whether any engine is below its limit; without one the choice need not be computed. */
    private boolean hasRoom(int kept) {
        int limit = run.slots + Math.max(1, run.slots / SLOTS_PER_QUEUED_REQUEST) - kept;
        return IntStream.range(0, open.length).anyMatch(engine -> load(engine) < limit);
    }

    private int freeSlots() {
        return run.slots * open.length
                - IntStream.range(0, open.length).map(this::load).sum();
    }

    private int load(int engine) {
        return open[engine] + run.exchange.others(number, engine);
    }

    private int[] lookUp(ContentionRun.Turn turn) {
        Lookup known = lookups.get(turn);
        if (known == null || run.time.millis() - known.atMillis() > LOOKUP_MILLIS) {
            List<CachedPart> granted = run.grantedParts(turn);
            int[] uncached = run.runners.stream()
                    .mapToInt(each -> memory.uncachedTokens(each.incarnation(), turn.prompt, granted, run.time.nanos()))
                    .toArray();
            known = new Lookup(uncached, run.time.millis());
            lookups.put(turn, known);
        }
        return known.uncached();
    }
}
