package org.parsleydrift.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptCacheIndex;
import org.parsleydrift.placement.RetryBudget;
import org.parsleydrift.placement.RunnerChoice;
import org.parsleydrift.placement.RunnerHealth;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;

/**
 * Requests that wait, and places taken at runners. Load pattern: bursts of twice the usual rate. Runners start requests
 * in order of arrival and slow down as they fill, so they get no more than {@link RunnerChoice} lets queue there; the
 * rest waits here, where it can be put in order or withdrawn. Confined to one loop.
 */
public final class Dispatcher {
    private static final Comparator<Entry> ORDER = Comparator.<Entry, Boolean>comparing(
                    each -> !each.waiter().underWay())
            .thenComparingInt(each -> each.waiter().priority())
            .thenComparingLong(Entry::arrival);

    /** What a usual prompt has to be read of before any was placed, tokens: a few hundred of new input. */
    private static final double FIRST_USUAL_MISSING = 500;
    /** Weight of the newest placement in what is usual: the last twenty or so count, some tenths of a second of a burst. */
    private static final double USUAL_WEIGHT = 0.05;

    private final Registry registry;
    private final RandomGenerator random;
    private final String zone;
    private final LongSupplier nanos;
    private final List<Entry> waiting = new ArrayList<>();
    private final Map<String, Integer> ownLoad = new HashMap<>();
    private final Map<String, Map<Long, Integer>> peerLoad = new HashMap<>();
    private final Map<Long, Integer> peerTotal = new HashMap<>();
    private final Map<String, Long> keys = new HashMap<>();
    private final Map<String, RunnerHealth> health = new HashMap<>();
    private final Map<String, RetryBudget> retries = new HashMap<>();
    private final Map<String, Double> usualMissing = new HashMap<>();
    private final PromptCacheIndex prompts = new PromptCacheIndex();
    private long arrivals;

    /**
     * Makes a dispatcher.
     *
     * @param registry knows the runners
     * @param random breaks ties
     * @param zone this node's availability zone
     * @param nanos the loop's clock
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos) {
        this.registry = registry;
        this.random = random;
        this.zone = zone;
        this.nanos = nanos;
    }

    /**
     * Requests that this node has at each runner.
     *
     * @return numbers by the life of the runner
     */
    public Map<String, Integer> ownLoad() {
        return Map.copyOf(ownLoad);
    }

    /**
     * Requests that all nodes have at all runners.
     *
     * @return their number
     */
    public int totalLoad() {
        return Stream.concat(ownLoad.values().stream(), peerTotal.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Takes in what other nodes have at each runner.
     *
     * @param loads by node or zone: numbers by the {@link RunnerKey} of the runner's life; empty for one that is gone
     */
    public void updatePeerLoads(Map<String, Map<Long, Integer>> loads) {
        loads.forEach((node, load) -> {
            Map<Long, Integer> former = peerLoad.put(node, Map.copyOf(load));
            if (former != null) {
                former.forEach((runner, count) -> peerTotal.merge(runner, -count, Integer::sum));
            }
            load.forEach((runner, count) -> peerTotal.merge(runner, count, Integer::sum));
        });
        dispatch();
    }

    /**
     * Requests that wait.
     *
     * @return their number
     */
    public int queueLength() {
        return waiting.size();
    }

    /** Forgets what is believed of runners that are gone, and places what can be placed at those that came. */
    void runnersChanged() {
        Set<String> lives = registry.incarnations();
        prompts.retainRunners(lives);
        health.keySet().retainAll(lives);
        keys.keySet().retainAll(lives);
        dispatch();
    }

    /** Lets those leave that the manifest in force does not allow any more. */
    void manifestChanged() {
        List.copyOf(waiting).forEach(each -> each.waiter().manifestChanged());
    }

    /** Places what can be placed. */
    void dispatch() {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.sort(ORDER);
        for (Entry entry : List.copyOf(waiting)) {
            place(entry);
        }
    }

    void submit(Waiter waiter) {
        Entry entry = new Entry(waiter, arrivals++);
        waiting.add(entry);
        if (waiting.size() == 1) {
            place(entry);
        } else {
            dispatch();
        }
    }

    boolean withdraw(Waiter waiter) {
        return waiting.removeIf(each -> each.waiter().equals(waiter));
    }

    /** A place is free again. */
    void finished(String life) {
        ownLoad.computeIfPresent(life, (same, load) -> load <= 1 ? null : load - 1);
        dispatch();
    }

    RunnerHealth health(String life) {
        return health.computeIfAbsent(life, any -> new RunnerHealth());
    }

    /** What second tries a service gets from this node. */
    RetryBudget retries(String service) {
        return retries.computeIfAbsent(service, any -> new RetryBudget());
    }

    /** Runners of a service that may get new requests. */
    List<Runner> runners(String service) {
        return registry.runners(service);
    }

    private void place(Entry entry) {
        Waiter waiter = entry.waiter();
        long now = nanos.getAsLong();
        List<Candidate> candidates = registry.runners(waiter.service()).stream()
                .filter(each -> !waiter.avoided().contains(each.incarnation()))
                .map(each -> candidate(each, waiter, now))
                .toList();
        double usual = waiter.prompt().isEmpty() ? 0 : usualMissing.getOrDefault(waiter.service(), FIRST_USUAL_MISSING);
        Optional<Candidate> chosen = RunnerChoice.choose(candidates, usual, waiter.anywhere(), random);
        if (chosen.isPresent() && waiting.remove(entry)) {
            take(waiter, chosen.get(), usual, now);
        }
    }

    private void take(Waiter waiter, Candidate chosen, double usual, long now) {
        String life = chosen.runner().incarnation();
        ownLoad.merge(life, 1, Integer::sum);
        if (!waiter.prompt().isEmpty()) {
            prompts.recordSent(life, waiter.prompt(), now);
            double learned = usual + USUAL_WEIGHT * (chosen.uncachedTokens() - usual);
            usualMissing.put(waiter.service(), Math.max(1, learned));
        }
        waiter.offered(chosen);
    }

    private Long key(String life) {
        return keys.computeIfAbsent(life, RunnerKey::of);
    }

    private Candidate candidate(Runner runner, Waiter waiter, long now) {
        RunnerHealth known = health.get(runner.incarnation());
        return new Candidate(
                runner,
                ownLoad.getOrDefault(runner.incarnation(), 0) + peerTotal.getOrDefault(key(runner.incarnation()), 0),
                known != null && known.isSuspended(now),
                runner.zone().equals(zone),
                prompts.uncachedTokens(runner.incarnation(), waiter.prompt(), waiter.heard(), now));
    }

    private record Entry(Waiter waiter, long arrival) {}
}
