package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.Runner;

/**
 * A simulation of nodes that compete for too few engines, with programs of two ranks. A turn that waits too long is
 * rejected and comes back once, at another node. All policies get the same programs for a seed.
 */
final class ContentionRun {
    private static final double ARRIVAL_SECONDS = 22;
    /** Time for programs to complete after the last arrival, ms. */
    private static final double END_MILLIS = 20_000;
    /** Network time between caller, node and engine in each direction, ms. */
    private static final double NETWORK_DELAY_MILLIS = 20;
    /** Requests that an engine queues beyond its slots. */
    private static final int ENGINE_QUEUE = 18;
    /** Least and additional random delay until a rejected turn comes back, ms. */
    private static final double RETRY_MILLIS = 300;

    private static final double RETRY_SPREAD_MILLIS = 150;

    final VirtualTime time = new VirtualTime();
    final SlotPolicy policy;
    final RandomGenerator random;
    final List<Runner> runners = new ArrayList<>();
    final LoadExchange exchange;
    final Optional<CoordinatorLink> coordinator;
    final int slots;
    private final List<EngineModel> engines = new ArrayList<>();
    private final int[] engineLoad;
    private final Map<String, List<CachedPart>> grantedParts = new HashMap<>();
    private final List<ContentionNode> nodes;
    private final Histogram[] waits = {new Histogram(3), new Histogram(3)};
    private final int[] programs = new int[RankedProgram.RANKS];
    private final int[] inTime = new int[RankedProgram.RANKS];
    private final int[] served = new int[RankedProgram.RANKS];
    private double worth;
    private double maxWorth;
    private long sent;
    private long full;

    private ContentionRun(SlotPolicy policy, ContentionLoad load, int nodeCount, long seed) {
        this.policy = policy;
        this.random = new Random(seed + 1);
        this.slots = load.parameters().slots();
        this.engineLoad = new int[load.engines()];
        IntStream.range(0, load.engines()).forEach(engine -> {
            engines.add(new EngineModel(load.parameters(), time, millis -> 1));
            runners.add(new Runner("engine" + engine, "engines", "10.0.0.1:80", "z", slots, false));
        });
        this.coordinator = policy == SlotPolicy.COORDINATOR
                ? Optional.of(new CoordinatorLink(time, runners, seed + 2))
                : Optional.empty();
        this.nodes = IntStream.range(0, nodeCount)
                .mapToObj(node -> new ContentionNode(this, node))
                .toList();
        this.exchange = new LoadExchange(
                time,
                nodeCount,
                load.engines() + RankedProgram.RANKS,
                node -> nodes.get(node).counters(),
                () -> nodes.forEach(ContentionNode::viewsChanged),
                random,
                ARRIVAL_SECONDS * 1000 + END_MILLIS);
    }

    /**
     * Simulates a policy until all programs end or the time limit is reached.
     *
     * @param policy how nodes share the slots
     * @param load programs and engines
     * @param nodes number of nodes
     * @param seed seed of the programs, of the phases of the exchange and of ties
     * @return the result
     */
    static ContentionResult run(SlotPolicy policy, ContentionLoad load, int nodes, long seed) {
        ContentionRun run = new ContentionRun(policy, load, nodes, seed);
        load.programs(ARRIVAL_SECONDS, new Random(seed))
                .forEach(each -> run.time.schedule(each.script().beginMillis(), () -> run.start(each)));
        run.time.runUntil(ARRIVAL_SECONDS * 1000 + END_MILLIS);
        return run.result();
    }

    private ContentionResult result() {
        return new ContentionResult(
                worth / maxWorth,
                (double) inTime[0] / programs[0],
                (double) inTime[1] / programs[1],
                (double) served[0] / programs[0],
                (double) served[1] / programs[1],
                (double) full / sent,
                waits[0].getValueAtPercentile(90),
                waits[1].getValueAtPercentile(90),
                coordinator.map(CoordinatorLink::messages).orElse(0L) / ARRIVAL_SECONDS);
    }

    /** A turn that waits for placement or runs on an engine. */
    static final class Turn {
        final RankedProgram program;
        final boolean started;
        final List<PromptPart> prompt;
        final TurnScript script;
        final double deadlineMillis;
        double sinceMillis;
        boolean returned;
        /** Engines that have rejected the turn. */
        final Set<Integer> excluded = new HashSet<>();

        private final Runnable done;

        private Turn(
                RankedProgram program,
                boolean started,
                List<PromptPart> prompt,
                TurnScript script,
                double deadlineMillis,
                Runnable done) {
            this.program = program;
            this.started = started;
            this.prompt = List.copyOf(prompt);
            this.script = script;
            this.deadlineMillis = deadlineMillis;
            this.done = done;
        }

        String id() {
            return prompt.getLast().id() + "#" + prompt.getLast().tokens();
        }
    }

    /** Returns the parts of a turn's prompt that engines have cached, as the program's record tells. */
    List<CachedPart> grantedParts(Turn turn) {
        return turn.prompt.stream()
                .flatMap(each -> grantedParts.getOrDefault(each.id(), List.of()).stream())
                .toList();
    }

    /** Sends a turn to an engine; returns false if the engine rejects it as full. */
    boolean send(Turn turn, int engine, Runnable ended) {
        sent++;
        if (engineLoad[engine] >= slots + ENGINE_QUEUE) {
            full++;
            turn.excluded.add(engine);
            return false;
        }
        waits[turn.program.rank()].recordValue((long) (time.millis() - turn.sinceMillis));
        engineLoad[engine]++;
        engines.get(engine).submit(new EngineModel.Run(turn.prompt, turn.script.outputTokens(), tokens -> {}, () -> {
            engineLoad[engine]--;
            ended.run();
            PromptPart line = turn.prompt.getLast();
            grantedParts
                    .computeIfAbsent(line.id(), any -> new ArrayList<>())
                    .add(new CachedPart(
                            runners.get(engine).incarnation(), line.id(), line.tokens() + turn.script.outputTokens()));
            time.schedule(NETWORK_DELAY_MILLIS + turn.script.pauseMillis(), turn.done);
        }));
        return true;
    }

    /** Handles a turn that has waited too long: it comes back once, then its program fails. */
    void reject(Turn turn) {
        if (!turn.returned) {
            turn.returned = true;
            turn.excluded.clear();
            time.schedule(RETRY_MILLIS + random.nextDouble() * RETRY_SPREAD_MILLIS, () -> arrive(turn));
        }
    }

    private void arrive(Turn turn) {
        turn.sinceMillis = time.millis();
        int drawn = (int) (turn.script.nodeDraw() * nodes.size());
        nodes.get(turn.returned ? (drawn + nodes.size() / 2) % nodes.size() : drawn)
                .add(turn);
    }

    private void start(RankedProgram program) {
        double begun = time.millis();
        programs[program.rank()]++;
        maxWorth += program.worthInTime();
        ProgramScript script = program.script();
        List<PromptPart> prompt =
                List.of(new PromptPart(script.sharedPart(), script.sharedTokens()), new PromptPart(script.id(), 0));
        runTurns(program, script.turns(), 0, prompt, () -> {
            double took = time.millis() - begun;
            boolean isInTime = took <= script.targetMillis();
            boolean isServed = took <= 2 * script.targetMillis();
            inTime[program.rank()] += isInTime ? 1 : 0;
            served[program.rank()] += isServed ? 1 : 0;
            worth += isInTime ? program.worthInTime() : isServed ? program.worthLate() : 0;
        });
    }

    private void runTurns(
            RankedProgram program, List<TurnScript> turns, int next, List<PromptPart> before, Runnable ended) {
        if (next == turns.size()) {
            ended.run();
            return;
        }
        TurnScript script = turns.get(next);
        List<PromptPart> prompt = withAppendedTokens(before, script.newTokens());
        double deadline = program.script().beginMillis() + 2 * program.script().targetMillis();
        boolean started = next > 0 || before.size() > 2;
        Turn turn = new Turn(program, started, prompt, script, deadline, () -> {
            List<PromptPart> after = withAppendedTokens(prompt, script.outputTokens());
            runSubAgents(program, script, after, () -> runTurns(program, turns, next + 1, after, ended));
        });
        time.schedule(NETWORK_DELAY_MILLIS, () -> arrive(turn));
    }

    private void runSubAgents(RankedProgram program, TurnScript script, List<PromptPart> parent, Runnable joined) {
        if (script.subAgents().isEmpty()) {
            joined.run();
            return;
        }
        int[] open = {script.subAgents().size()};
        IntStream.range(0, open[0]).forEach(agent -> {
            String id = parent.getLast().id() + "/" + parent.getLast().tokens() + "/" + agent;
            List<PromptPart> start = Stream.concat(parent.stream(), Stream.of(new PromptPart(id, 0)))
                    .toList();
            runTurns(program, script.subAgents().get(agent), 0, start, () -> {
                if (--open[0] == 0) {
                    joined.run();
                }
            });
        });
    }

    private static List<PromptPart> withAppendedTokens(List<PromptPart> prompt, int tokens) {
        PromptPart last = prompt.getLast();
        return Stream.concat(
                        prompt.stream().limit(prompt.size() - 1L),
                        Stream.of(new PromptPart(last.id(), last.tokens() + tokens)))
                .toList();
    }
}
