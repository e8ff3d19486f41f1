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
import org.parsleydrift.placement.TypicalRequest;
import org.parsleydrift.placement.speed.RunnerSpeeds;
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
    private static final Comparator<QueueEntry> ORDER = Comparator.<QueueEntry, Boolean>comparing(
                    each -> !each.request().isInProgress())
            .thenComparingInt(each -> each.request().priority())
            .thenComparingLong(QueueEntry::arrival);

    /** Initial average of uncached prompt tokens per request. */
    private static final double INITIAL_UNCACHED_TOKENS = 500;
    /** Weight of the latest placement in the moving average of uncached prompt tokens. */
    private static final double AVERAGE_WEIGHT = 0.05;

    private final Registry registry;
    private final RandomGenerator random;
    private final String zone;
    private final LongSupplier nanos;
    private final List<QueueEntry> queue = new ArrayList<>();
    private final Map<String, Integer> ownLoad = new HashMap<>();
    private final Map<String, Map<Long, Integer>> peerLoad = new HashMap<>();
    private final Map<Long, Integer> peerLoadTotals = new HashMap<>();
    private final Map<String, Long> runnerKeys = new HashMap<>();
    private final Map<String, RunnerHealth> health = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, Double> averageUncached = new HashMap<>();
    private final PromptCacheIndex promptCache = new PromptCacheIndex();
    private final RunnerSpeeds speeds;
    private long arrivals;

    /**
     * Creates a dispatcher with an empty queue that does not learn the speeds of runners.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos) {
        this(registry, random, zone, nanos, new RunnerSpeeds(() -> false));
    }

    /**
     * Creates a dispatcher with an empty queue.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     * @param speeds learned speeds of the runners
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos, RunnerSpeeds speeds) {
        this.registry = registry;
        this.random = random;
        this.zone = zone;
        this.nanos = nanos;
        this.speeds = speeds;
    }

    /**
     * Returns the learned speeds of the runners, which nodes exchange.
     *
     * @return the speeds
     */
    public RunnerSpeeds speeds() {
        return speeds;
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
        return Stream.concat(ownLoad.values().stream(), peerLoadTotals.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Updates the loads reported by peers and assigns queued requests that have become assignable.
     *
     * @param loads requests by {@link RunnerKey} of the runner's incarnation, for each node or zone; empty for one that
     *     is gone
     */
    public void updatePeerLoads(Map<String, Map<Long, Integer>> loads) {
        loads.forEach((node, load) -> {
            Map<Long, Integer> previous = peerLoad.put(node, Map.copyOf(load));
            if (previous != null) {
                previous.forEach((runner, count) -> peerLoadTotals.merge(runner, -count, Integer::sum));
            }
            load.forEach((runner, count) -> peerLoadTotals.merge(runner, count, Integer::sum));
        });
        dispatch();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return number of requests
     */
    public int queueLength() {
        return queue.size();
    }

    /** Drops the state of runners that are gone and assigns queued requests to new ones. */
    void runnersChanged() {
        Set<String> incarnations = registry.incarnations();
        promptCache.retainRunners(incarnations);
        health.keySet().retainAll(incarnations);
        runnerKeys.keySet().retainAll(incarnations);
        speeds.retainRunners(incarnations);
        dispatch();
    }

    /** Notifies the queued requests of a new manifest, so that those it no longer permits withdraw. */
    void manifestChanged() {
        List.copyOf(queue).forEach(each -> each.request().manifestChanged());
    }

    /** Assigns queued requests to runners, in order of precedence. */
    void dispatch() {
        if (queue.isEmpty()) {
            return;
        }
        queue.sort(ORDER);
        for (QueueEntry entry : List.copyOf(queue)) {
            tryAssign(entry);
        }
    }

    void submit(QueuedRequest request) {
        QueueEntry entry = new QueueEntry(request, arrivals++);
        queue.add(entry);
        if (queue.size() == 1) {
            tryAssign(entry);
        } else {
            dispatch();
        }
    }

    boolean withdraw(QueuedRequest request) {
        return queue.removeIf(each -> each.request().equals(request));
    }

    /** Releases a slot of a runner and assigns queued requests. */
    void releaseSlot(String incarnation) {
        ownLoad.computeIfPresent(incarnation, (same, load) -> load <= 1 ? null : load - 1);
        dispatch();
    }

    RunnerHealth health(String incarnation) {
        return health.computeIfAbsent(incarnation, any -> new RunnerHealth());
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, any -> new RetryBudget());
    }

    /** Returns the runners of a service that accept new requests. */
    List<Runner> runners(String service) {
        return registry.runners(service);
    }

    private void tryAssign(QueueEntry entry) {
        QueuedRequest request = entry.request();
        long now = nanos.getAsLong();
        List<Runner> runners = registry.runners(request.service());
        speeds.refresh(request.service(), runners, now);
        List<Candidate> candidates = runners.stream()
                .filter(each -> !request.excludedRunners().contains(each.incarnation()))
                .map(each -> candidate(each, request, now))
                .toList();
        double average = request.prompt().isEmpty()
                ? 0
                : averageUncached.getOrDefault(request.service(), INITIAL_UNCACHED_TOKENS);
        TypicalRequest typical = new TypicalRequest(average, speeds.generationTokens(request.service()));
        Optional<Candidate> chosen = RunnerChoice.choose(candidates, typical, request.acceptsAnyRunner(), random);
        if (chosen.isPresent() && queue.remove(entry)) {
            assign(request, chosen.get(), average, now);
        }
    }

    private void assign(QueuedRequest request, Candidate chosen, double average, long now) {
        String incarnation = chosen.runner().incarnation();
        ownLoad.merge(incarnation, 1, Integer::sum);
        if (!request.prompt().isEmpty()) {
            promptCache.recordSent(incarnation, request.prompt(), now);
            double updated = average + AVERAGE_WEIGHT * (chosen.uncachedTokens() - average);
            averageUncached.put(request.service(), Math.max(1, updated));
        }
        request.assign(chosen);
    }

    private Long runnerKey(String incarnation) {
        return runnerKeys.computeIfAbsent(incarnation, RunnerKey::of);
    }

    private Candidate candidate(Runner runner, QueuedRequest request, long now) {
        RunnerHealth runnerHealth = health.get(runner.incarnation());
        return new Candidate(
                runner,
                ownLoad.getOrDefault(runner.incarnation(), 0)
                        + peerLoadTotals.getOrDefault(runnerKey(runner.incarnation()), 0),
                runnerHealth != null && runnerHealth.isSuspended(now),
                runner.zone().equals(zone),
                promptCache.uncachedTokens(runner.incarnation(), request.prompt(), request.reportedParts(), now),
                speeds.factor(runner));
    }

    private record QueueEntry(QueuedRequest request, long arrival) {}
}
