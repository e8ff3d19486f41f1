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
 * Queues requests and assigns them to runners. Runners process requests in order of arrival and slow down under load,
 * so they receive no more than {@link RunnerChoice} permits; further requests wait here, ordered by priority, and can
 * be withdrawn.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class Dispatcher {
    private static final Comparator<Entry> ORDER = Comparator.<Entry, Boolean>comparing(
                    each -> !each.waiter().underWay())
            .thenComparingInt(each -> each.waiter().priority())
            .thenComparingLong(Entry::arrival);

    /** Initial average of uncached prompt tokens per request. */
    private static final double FIRST_USUAL_MISSING = 500;
    /** Weight of the latest placement in the moving average of uncached prompt tokens. */
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
     * Creates a dispatcher with an empty queue.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos) {
        this.registry = registry;
        this.random = random;
        this.zone = zone;
        this.nanos = nanos;
    }

    /**
     * Returns the number of this node's requests at each runner.
     *
     * @return requests by the id of the runner's incarnation; runners without requests are omitted
     */
    public Map<String, Integer> ownLoad() {
        return Map.copyOf(ownLoad);
    }

    /**
     * Returns the number of requests at all runners, including those of peers by their last reports.
     *
     * @return number of requests
     */
    public int totalLoad() {
        return Stream.concat(ownLoad.values().stream(), peerTotal.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Replaces the loads reported by peers and assigns queued requests that have become assignable.
     *
     * @param loads requests by {@link RunnerKey} of the runner's incarnation, for each node or zone; empty for one that
     *     is gone
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
     * Returns the number of queued requests.
     *
     * @return number of requests
     */
    public int queueLength() {
        return waiting.size();
    }

    /** Drops the state of runners that are gone and assigns queued requests to new ones. */
    void runnersChanged() {
        Set<String> lives = registry.incarnations();
        prompts.retainRunners(lives);
        health.keySet().retainAll(lives);
        keys.keySet().retainAll(lives);
        dispatch();
    }

    /** Notifies the queued requests of a new manifest, so that those it no longer permits withdraw. */
    void manifestChanged() {
        List.copyOf(waiting).forEach(each -> each.waiter().manifestChanged());
    }

    /** Assigns queued requests to runners, in order of precedence. */
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

    /** Releases a slot of a runner and assigns queued requests. */
    void finished(String life) {
        ownLoad.computeIfPresent(life, (same, load) -> load <= 1 ? null : load - 1);
        dispatch();
    }

    RunnerHealth health(String life) {
        return health.computeIfAbsent(life, any -> new RunnerHealth());
    }

    RetryBudget retries(String service) {
        return retries.computeIfAbsent(service, any -> new RetryBudget());
    }

    /** Returns the runners of a service that accept new requests. */
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
