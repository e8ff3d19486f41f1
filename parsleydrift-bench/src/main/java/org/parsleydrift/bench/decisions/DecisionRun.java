package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptCacheIndex;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.placement.TypicalRequest;
import org.parsleydrift.placement.speed.RunnerObservation;
import org.parsleydrift.placement.speed.RunnerSpeeds;
import org.parsleydrift.placement.speed.SpeedSum;
import org.parsleydrift.registry.Runner;

/**
 * A simulation of one placement policy. Turns arrive at random entry nodes, which place them on modelled engines by
 * their own requests and the loads last published by their peers. All policies get the same programs for a seed.
 */
public final class DecisionRun {
    private static final double ARRIVAL_SECONDS = 25;
    /** Time for programs to complete after the last arrival, ms. */
    private static final double END_MILLIS = 60_000;
    /** Network time between caller, node and engine in each direction, ms. */
    private static final double NETWORK_DELAY_MILLIS = 20;
    /** Wait after which a turn is placed on any engine with a free slot, ms. */
    private static final double MAX_CACHE_WAIT_MILLIS = 720;
    /** Weight of the latest placement in the moving average of uncached tokens. */
    private static final double UNCACHED_MEAN_WEIGHT = 0.05;

    /** Tokens in each stream event. */
    private static final int TOKENS_PER_EVENT = 18;

    private static final double INITIAL_MEAN_UNCACHED_TOKENS = 500;

    private static final String SERVICE = "engines";
    /** Availability zones over which the nodes are distributed. */
    private static final int ZONES = 3;

    private final VirtualTime time = new VirtualTime();
    private final Histogram turnMillis = new Histogram(3);
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, List<CachedPart>> grantedParts = new HashMap<>();
    private final Map<String, String> lastEngine = new HashMap<>();
    private final RandomGenerator ties;
    private final Policy policy;
    private final FleetShape shape;
    private int programs;
    private int inTime;
    private int late;
    private int placements;
    private long promptTokens;

    /** An entry node that places turns by its own view of the loads. */
    private final class Node {
        private final int[] ownLoad = new int[shape.engines()];
        private final int[] publishedLoad = new int[shape.engines()];
        private final PromptCacheIndex memory = new PromptCacheIndex();
        private final List<Turn> waiting = new ArrayList<>();
        private final RunnerSpeeds speeds = new RunnerSpeeds(policy::learnsSpeeds);
        private double meanUncachedTokens = INITIAL_MEAN_UNCACHED_TOKENS;

        private void dispatch() {
            List.copyOf(waiting).forEach(this::place);
        }

        private void place(Turn turn) {
            List<CachedPart> known =
                    policy.usesGrants() ? grantedParts.getOrDefault(turn.program, List.of()) : List.of();
            speeds.refresh(SERVICE, runners, time.nanos());
            List<Candidate> candidates = IntStream.range(0, shape.engines())
                    .mapToObj(engine -> {
                        String incarnation = runners.get(engine).incarnation();
                        int missing = memory.uncachedTokens(incarnation, turn.prompt, known, time.nanos());
                        double factor = speeds.factor(runners.get(engine));
                        return new Candidate(runners.get(engine), load(engine), false, false, missing, factor);
                    })
                    .toList();
            boolean isWaitExhausted = time.millis() - turn.sinceMillis > MAX_CACHE_WAIT_MILLIS;
            Policy.PlacementContext context = new Policy.PlacementContext(
                    candidates,
                    lastEngine.getOrDefault(turn.program, ""),
                    new TypicalRequest(meanUncachedTokens, speeds.generationTokens(SERVICE)),
                    isWaitExhausted,
                    placements);
            Optional<Candidate> chosen = policy.choose(context, ties);
            if (chosen.isPresent() && waiting.remove(turn)) {
                take(turn, chosen.get(), candidates.indexOf(chosen.get()));
            }
        }

        private void take(Turn turn, Candidate chosen, int engine) {
            placements++;
            ownLoad[engine]++;
            meanUncachedTokens += UNCACHED_MEAN_WEIGHT * (chosen.uncachedTokens() - meanUncachedTokens);
            memory.recordSent(chosen.runner().incarnation(), turn.prompt, time.nanos());
            promptTokens += turn.prompt.stream().mapToInt(PromptPart::tokens).sum();
            int output = turn.script.outputTokens();
            RunnerObservation observation =
                    speeds.begin(chosen.runner(), true, chosen.uncachedTokens(), chosen.load(), time.nanos());
            IntConsumer onToken = tokens -> observation.recordEvents(
                    (tokens == output ? tokens + TOKENS_PER_EVENT - 1 : tokens) / TOKENS_PER_EVENT, time.nanos());
            engines.get(engine).submit(new EngineModel.Run(turn.prompt, output, onToken, () -> {
                ownLoad[engine]--;
                observation.complete(time.nanos());
                turn.complete(chosen.runner().incarnation());
                dispatch();
            }));
        }

        private int load(int engine) {
            int others = nodes.stream()
                    .filter(each -> each != this)
                    .mapToInt(each -> each.publishedLoad[engine])
                    .sum();
            return ownLoad[engine] + others;
        }
    }

    /** A turn that waits for placement or runs on an engine. */
    private final class Turn {
        private final String program;
        private final TurnScript script;
        private final List<PromptPart> prompt;
        private final double sinceMillis = time.millis();
        private final Runnable then;

        private Turn(String program, TurnScript script, List<PromptPart> prompt, Runnable then) {
            this.program = program;
            this.script = script;
            this.prompt = List.copyOf(prompt);
            this.then = then;
        }

        private void complete(String incarnation) {
            turnMillis.recordValue((long) (time.millis() - sinceMillis));
            PromptPart line = prompt.getLast();
            grantedParts
                    .computeIfAbsent(program, any -> new ArrayList<>())
                    .add(new CachedPart(incarnation, line.id(), line.tokens() + script.outputTokens()));
            lastEngine.put(program, incarnation);
            time.schedule(NETWORK_DELAY_MILLIS + script.pauseMillis(), then);
        }
    }

    private DecisionRun(Policy policy, LoadPattern pattern, FleetShape shape, long seed) {
        this.policy = policy;
        this.shape = shape;
        this.ties = new Random(seed + 1);
        IntStream.range(0, shape.engines()).forEach(engine -> {
            engines.add(new EngineModel(shape.engineParameters(), time, millis -> pattern.slowdownAt(engine, millis)));
            runners.add(new Runner(
                    "engine" + engine,
                    SERVICE,
                    "10.0.0.1:80",
                    "z",
                    shape.engineParameters().slots(),
                    false));
        });
        IntStream.range(0, shape.nodes()).forEach(node -> nodes.add(new Node()));
    }

    /**
     * Simulates a policy until all programs end or the time limit is reached.
     *
     * @param policy the placement policy
     * @param pattern the load pattern
     * @param shape the size of the fleet
     * @param seed seed of the programs and of tie-breaking
     * @return the result of the run
     */
    public static RunResult run(Policy policy, LoadPattern pattern, FleetShape shape, long seed) {
        DecisionRun run = new DecisionRun(policy, pattern, shape, seed);
        run.scheduleArrivals(pattern, new Random(seed));
        run.time.schedule(shape.loadReportMillis(), run::publishLoads);
        run.time.runUntil(ARRIVAL_SECONDS * 1000 + END_MILLIS);
        long read = run.engines.stream().mapToLong(EngineModel::prefillTokens).sum();
        return new RunResult(
                run.programs,
                run.inTime,
                run.late,
                run.promptTokens,
                read,
                run.turnMillis.getValueAtPercentile(50),
                run.turnMillis.getValueAtPercentile(99));
    }

    private void scheduleArrivals(LoadPattern pattern, RandomGenerator random) {
        double seconds = 0;
        while (seconds < ARRIVAL_SECONDS) {
            seconds += -Math.log(1 - random.nextDouble()) / (pattern.rateAt(seconds) * shape.rateFactor());
            ProgramScript program =
                    ProgramScript.generate("p" + programs++, seconds * 1000, random, shape.engineParameters());
            time.schedule(program.beginMillis(), () -> startProgram(program));
        }
    }

    private void startProgram(ProgramScript program) {
        double begun = time.millis();
        List<PromptPart> start =
                List.of(new PromptPart(program.sharedPart(), program.sharedTokens()), new PromptPart(program.id(), 0));
        runTurns(program.id(), program.turns(), 0, start, () -> {
            double took = time.millis() - begun;
            inTime += took <= program.targetMillis() ? 1 : 0;
            late += took > program.targetMillis() && took <= 2 * program.targetMillis() ? 1 : 0;
        });
    }

    private void runTurns(String program, List<TurnScript> turns, int next, List<PromptPart> before, Runnable ended) {
        if (next == turns.size()) {
            ended.run();
            return;
        }
        TurnScript script = turns.get(next);
        List<PromptPart> prompt = withAppendedTokens(before, script.newTokens());
        Turn turn = new Turn(program, script, prompt, () -> {
            List<PromptPart> after = withAppendedTokens(prompt, script.outputTokens());
            runSubAgents(program, script, after, () -> runTurns(program, turns, next + 1, after, ended));
        });
        Node node = nodes.get((int) (script.nodeDraw() * shape.nodes()));
        time.schedule(NETWORK_DELAY_MILLIS, () -> {
            node.waiting.add(turn);
            node.dispatch();
        });
    }

    private void runSubAgents(String program, TurnScript script, List<PromptPart> parent, Runnable joined) {
        if (script.subAgents().isEmpty()) {
            joined.run();
            return;
        }
        int[] open = {script.subAgents().size()};
        IntStream.range(0, open[0]).forEach(agent -> {
            List<PromptPart> start = new ArrayList<>(parent);
            start.add(new PromptPart(
                    parent.getLast().id() + "/" + parent.getLast().tokens() + "/" + agent, 0));
            runTurns(program, script.subAgents().get(agent), 0, start, () -> {
                if (--open[0] == 0) {
                    joined.run();
                }
            });
        });
    }

    private static List<PromptPart> withAppendedTokens(List<PromptPart> prompt, int tokens) {
        List<PromptPart> longer = new ArrayList<>(prompt.subList(0, prompt.size() - 1));
        PromptPart last = prompt.getLast();
        longer.add(new PromptPart(last.id(), last.tokens() + tokens));
        return longer;
    }

    private void publishLoads() {
        nodes.forEach(each -> System.arraycopy(each.ownLoad, 0, each.publishedLoad, 0, shape.engines()));
        if (policy.learnsSpeeds()) {
            publishSpeeds();
        }
        nodes.forEach(Node::dispatch);
        if (time.millis() < ARRIVAL_SECONDS * 1000 + END_MILLIS) {
            time.schedule(shape.loadReportMillis(), this::publishLoads);
        }
    }

    /** Delivers the learned speeds as the exchange does: by node within a zone, summed by zone to the others. */
    private void publishSpeeds() {
        List<Map<Long, SpeedSum>> published =
                nodes.stream().map(each -> each.speeds.export(time.nanos())).toList();
        List<Map<Long, SpeedSum>> zoneSums = IntStream.range(0, ZONES)
                .mapToObj(zone -> inZone(zone)
                        .mapToObj(published::get)
                        .flatMap(each -> each.entrySet().stream())
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, SpeedSum::merge)))
                .toList();
        IntStream.range(0, nodes.size()).forEach(receiver -> {
            Map<String, Map<Long, SpeedSum>> received = new HashMap<>();
            inZone(receiver % ZONES)
                    .filter(sender -> sender != receiver)
                    .forEach(sender -> received.put("node" + sender, published.get(sender)));
            IntStream.range(0, ZONES)
                    .filter(zone -> zone != receiver % ZONES)
                    .forEach(zone -> received.put("zone" + zone, zoneSums.get(zone)));
            nodes.get(receiver).speeds.updatePeers(received);
        });
    }

    private IntStream inZone(int zone) {
        return IntStream.range(0, nodes.size()).filter(node -> node % ZONES == zone);
    }
}
