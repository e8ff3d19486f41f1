package org.parsleydrift.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.standin.EngineFaults;
import org.parsleydrift.standin.PlatformFaults;
import org.parsleydrift.standin.StandInEngine;
import org.parsleydrift.standin.ToolFaults;

/** A randomised run: executes programs under injected faults and verifies the scheduler's invariants. */
public final class Soak {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration MEAN_FAULT_PAUSE = Duration.ofMillis(400);
    private static final Duration SETTLE = Duration.ofSeconds(90);
    private static final Duration PROGRESS_TIMEOUT = Duration.ofMinutes(3);
    private static final int PROMPT_BUDGET_TOKENS = 4000;

    private final SoakOptions options;
    private final Fleet fleet;
    private final FaultInjector faults;
    private final List<FleetCaller> activeCallers = new ArrayList<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    private final Map<String, FleetCaller> refusedNotRun = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates a run.
     *
     * @param options the seed, size and faults
     */
    public Soak(SoakOptions options) {
        this.options = options;
        this.fleet = new Fleet(new FleetOptions(options.seed(), options.nodes(), 4, 2));
        this.faults = new FaultInjector(fleet, options.faults());
    }

    /**
     * Runs all programs, removes the faults and verifies the invariants.
     *
     * @return the report with any violations
     */
    public SoakReport run() {
        fleet.submit(fleet.manifest(64));
        PromptGenerator prompts = new PromptGenerator(fleet.random().split());
        faults.scheduleNext(MEAN_FAULT_PAUSE);
        int submitted = 0;
        long lastProgressNanos = fleet.scheduler().nanos();
        while (submitted < options.programs() || !activeCallers.isEmpty()) {
            while (submitted < options.programs() && activeCallers.size() < options.maxConcurrent()) {
                submitted++;
                FleetCaller caller = new FleetCaller(fleet, "p" + submitted, prompts.next(), prompts.messages());
                activeCallers.add(caller);
                caller.begin();
            }
            fleet.advance(STEP);
            fleet.liveNodes().forEach(FleetNode::checkGeneration);
            if (collectFinished() > 0) {
                lastProgressNanos = fleet.scheduler().nanos();
            }
            if (fleet.scheduler().nanos() - lastProgressNanos > PROGRESS_TIMEOUT.toNanos()) {
                activeCallers.forEach(caller -> violations.add(
                        "no program ended within " + PROGRESS_TIMEOUT + ", still running: " + caller.id()));
                break;
            }
        }
        long virtual = fleet.scheduler().nanos();
        removeFaults();
        checkAfterwards();
        return new SoakReport(
                options.seed(),
                submitted,
                ends,
                faults.counts(),
                effects().values().stream().mapToLong(each -> each).sum(),
                fleet.liveNodes().stream()
                        .flatMap(node -> node.node().programs().values().stream())
                        .mapToLong(state -> state.unknown().size())
                        .sum(),
                fleet.store().counts(),
                virtual / 1_000_000_000L,
                violations);
    }

    /**
     * Returns the fleet for inspection after the run.
     *
     * @return the fleet
     */
    public Fleet fleet() {
        return fleet;
    }

    private int collectFinished() {
        List<FleetCaller> done =
                activeCallers.stream().filter(FleetCaller::isDone).toList();
        activeCallers.removeAll(done);
        done.forEach(this::recordResult);
        return done.size();
    }

    private void recordResult(FleetCaller caller) {
        if (caller.refusal() != null) {
            ends.merge("refused_" + caller.refusal().kind().name().toLowerCase(java.util.Locale.ROOT), 1, Integer::sum);
            if (caller.refusal().kind() == RefusalKind.NOT_RUN) {
                refusedNotRun.put(String.valueOf(caller.id()), caller);
            } else {
                violations.add("unexpected refusal: " + caller.id() + " " + caller.refusal());
            }
            return;
        }
        ends.merge(caller.answer().end(), 1, Integer::sum);
        if ("complete".equals(caller.answer().end()) && !caller.describeFault().isEmpty()) {
            violations.add("wrong answer: " + caller.id() + " " + caller.describeFault());
        }
        if (Set.of("failed", "loop", "cancelled").contains(caller.answer().end())) {
            violations.add("unexpected end: " + caller.id() + " " + caller.describeFault());
        }
    }

    private void removeFaults() {
        faults.stop();
        fleet.network().heal();
        fleet.store().faults(PlatformFaults.NONE);
        fleet.engines().values().forEach(engine -> engine.faults(EngineFaults.NONE));
        fleet.tools().values().forEach(tool -> tool.faults(ToolFaults.NONE));
        fleet.liveNodes().stream().filter(FleetNode::isPaused).forEach(FleetNode::resume);
        fleet.advance(SETTLE);
    }

    private void checkAfterwards() {
        checkEffects();
        checkOrder();
        checkEngines();
        checkManifests();
        fleet.liveNodes()
                .forEach(node -> node.node().programs().values().stream()
                        .filter(state -> !state.hasEnded())
                        .filter(state -> refusedNotRun.containsKey(state.id().toString()))
                        .forEach(state -> violations.add("refused as not run, but is running: " + state.id())));
    }

    /** Verifies that non-idempotent calls ran at most once, and none of a program refused as not run. */
    private void checkEffects() {
        effects().forEach((effect, count) -> {
            if (count > 1 && effect.endsWith(" once")) {
                violations.add("non-idempotent call ran " + count + " times: " + effect);
            }
            String program = effect.substring(0, effect.indexOf('/'));
            if (refusedNotRun.containsKey(program)) {
                violations.add("refused as not run, but a call ran: " + effect);
            }
        });
    }

    /** Verifies that the non-idempotent calls of an agent ran in the order of its turns. */
    private void checkOrder() {
        Map<String, Long> first = new HashMap<>();
        fleet.tools().values().forEach(tool -> first.putAll(tool.firstNanos()));
        Map<String, String> lastByAgent = new HashMap<>();
        first.entrySet().stream()
                .filter(entry -> entry.getKey().endsWith(" once"))
                .sorted(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .forEach(entry -> {
                    String[] parts = entry.getKey().split("[/ ]", -1);
                    String agent = parts[0] + "/" + parts[1];
                    String place = String.format("%06d/%06d", Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
                    String before = lastByAgent.put(agent, place);
                    if (before != null && before.compareTo(place) > 0) {
                        violations.add("call out of order: " + entry.getKey() + " ran after " + before);
                    }
                });
    }

    /** Verifies that engines released all memory and generated no more tokens than budgets allow. */
    private void checkEngines() {
        Map<String, Long> generated = new HashMap<>();
        for (StandInEngine engine : fleet.engines().values()) {
            engine.memory().forEach(held -> violations.add("engine memory not released: " + held));
            engine.generated().forEach((owner, tokens) -> generated.merge(owner, tokens, Long::sum));
        }
        generated.forEach((owner, tokens) -> {
            if (tokens > PROMPT_BUDGET_TOKENS) {
                violations.add("budget exceeded: " + owner + " generated " + tokens + " tokens, limit "
                        + PROMPT_BUDGET_TOKENS);
            }
            if (refusedNotRun.containsKey(owner)) {
                violations.add("refused as not run, but generated tokens: " + owner);
            }
        });
    }

    private void checkManifests() {
        long generations = fleet.liveNodes().stream()
                .map(node -> node.node().manifest().generation())
                .distinct()
                .count();
        if (generations != 1) {
            violations.add("live nodes have " + generations + " distinct manifest generations, expected 1");
        }
    }

    private Map<String, Integer> effects() {
        Map<String, Integer> all = new HashMap<>();
        fleet.tools()
                .values()
                .forEach(tool -> tool.effects().forEach((effect, count) -> all.merge(effect, count, Integer::sum)));
        return all;
    }
}
