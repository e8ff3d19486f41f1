package org.parsleydrift.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleydrift.placement.Candidate;
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
 * so they receive no more than {@link RunnerChoice} and the {@link DispatchPolicy} permit; further requests wait here,
 * in the order of the policy, and can be withdrawn.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class Dispatcher {
    private final Registry registry;
    private final RandomGenerator random;
    private final String zone;
    private final LongSupplier nanos;
    private final List<QueueEntry> queue = new ArrayList<>();
    private final RunnerLoads loads = new RunnerLoads();
    private final PromptPlacements prompts = new PromptPlacements();
    private final Map<String, RunnerHealth> health = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final LeasedSlots slots;
    private DispatchPolicy policy = DispatchPolicy.DEFAULT;
    private DispatchListener listener = DispatchListener.NONE;
    private final RunnerSpeeds speeds;
    private long arrivals;

    /**
     * Creates a dispatcher with an empty queue that neither asks for slots nor learns the speeds of runners.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos) {
        this(registry, random, zone, nanos, SlotGate.OPEN);
    }

    /**
     * Creates a dispatcher with an empty queue that does not learn the speeds of runners.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     * @param gate grants the slots
     */
    public Dispatcher(Registry registry, RandomGenerator random, String zone, LongSupplier nanos, SlotGate gate) {
        this(registry, random, zone, nanos, gate, new RunnerSpeeds(() -> false));
    }

    /**
     * Creates a dispatcher with an empty queue.
     *
     * @param registry source of the runners
     * @param random source of randomness for the choice of runners
     * @param zone this node's availability zone
     * @param nanos monotonic clock of the loop, ns
     * @param gate grants the slots
     * @param speeds learned speeds of the runners
     */
    public Dispatcher(
            Registry registry,
            RandomGenerator random,
            String zone,
            LongSupplier nanos,
            SlotGate gate,
            RunnerSpeeds speeds) {
        this.registry = registry;
        this.random = random;
        this.zone = zone;
        this.nanos = nanos;
        this.slots = new LeasedSlots(gate, nanos);
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
        return loads.own();
    }

    /**
     * Returns the number of requests at all runners, including those of peers by their last reports.
     *
     * @return number of requests
     */
    public int totalLoad() {
        return loads.total();
    }

    /**
     * Updates the loads reported by peers and assigns queued requests that have become assignable.
     *
     * @param peerLoads requests by {@link RunnerKey} of the runner's incarnation, for each node or zone; empty for one that
     *     is gone
     */
    public void updatePeerLoads(Map<String, Map<Long, Integer>> peerLoads) {
        loads.updatePeers(peerLoads);
        dispatch();
    }

    /**
     * Returns the number of queued requests, including those that wait for a slot to be granted.
     *
     * @return number of requests
     */
    public int queueLength() {
        return queue.size() + slots.pending().size();
    }

    /**
     * Returns the load of a runner, by own requests and the last reports of peers.
     *
     * @param incarnation id of the runner's incarnation
     * @return number of requests
     */
    public int reportedLoad(String incarnation) {
        return loads.at(incarnation);
    }

    /**
     * Returns the share of a service's slots that are used, by own requests and the last reports of peers.
     *
     * @param service name of the service
     * @return requests per slot; 0 without runners
     */
    public double utilization(String service) {
        List<Runner> usable = registry.runners(service);
        int slotCount = usable.stream().mapToInt(Runner::slots).sum();
        int load =
                usable.stream().mapToInt(each -> loads.at(each.incarnation())).sum();
        return slotCount == 0 ? 0 : (double) load / slotCount;
    }

    /** Drops the state of runners that are gone and assigns queued requests to new ones. */
    void runnersChanged() {
        Set<String> incarnations = registry.incarnations();
        prompts.retainRunners(incarnations);
        health.keySet().retainAll(incarnations);
        loads.retainRunners(incarnations);
        slots.retainRunners(incarnations);
        speeds.retainRunners(incarnations);
        queuedRequests().forEach(QueuedRequest::runnersChanged);
        dispatch();
    }

    /** Notifies the queued requests of a new manifest, so that those it no longer permits withdraw. */
    void manifestChanged() {
        queuedRequests().forEach(QueuedRequest::manifestChanged);
    }

    /** Notifies the queued requests that some work must not be sent to runners any more, so that those for it withdraw. */
    void workLimited() {
        queuedRequests().forEach(QueuedRequest::workLimited);
        dispatch();
    }

    private List<QueuedRequest> queuedRequests() {
        return Stream.concat(queue.stream().map(QueueEntry::request), slots.pending().stream())
                .toList();
    }

    /** Assigns queued requests to runners, in order of precedence. */
    void dispatch() {
        if (queue.isEmpty()) {
            return;
        }
        policy.order(List.copyOf(queue)).forEach(this::tryAssign);
    }

    void submit(QueuedRequest request) {
        QueueEntry entry = new QueueEntry(request, arrivals++);
        queue.add(entry);
        listener.onQueued(entry, nanos.getAsLong());
        if (queue.size() == 1) {
            tryAssign(entry);
        } else {
            dispatch();
        }
    }

    boolean withdraw(QueuedRequest request) {
        Optional<String> assigning = slots.withdraw(request);
        boolean withdrawn =
                assigning.isPresent() || queue.removeIf(each -> each.request().equals(request));
        if (withdrawn) {
            listener.onWithdrawn(request);
        }
        assigning.ifPresent(this::releaseSlot);
        return withdrawn;
    }

    /** Releases the slot that a request had at a runner, with its lease, and assigns queued requests. */
    void releaseSlot(QueuedRequest request, String incarnation) {
        slots.release(request, incarnation);
        releaseSlot(incarnation);
    }

    /** Records that a runner rejected a request as full. */
    void recordRejection(Runner runner) {
        slots.recordRejection(runner, this::dispatch);
    }

    /** Reports that a request no longer uses the slot of its runner; the slot itself is released separately. */
    void reportAttemptEnd(QueuedRequest request, AttemptEnd end) {
        listener.onAttemptEnded(request, end, nanos.getAsLong());
    }

    /** Releases a slot of a runner and assigns queued requests. */
    void releaseSlot(String incarnation) {
        loads.remove(incarnation);
        dispatch();
    }

    RunnerHealth health(String incarnation) {
        return health.computeIfAbsent(incarnation, any -> new RunnerHealth());
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, any -> new RetryBudget());
    }

    RunnerLoads loads() {
        return loads;
    }

    /** Replaces the default policy. */
    void usePolicy(DispatchPolicy newPolicy, DispatchListener newListener) {
        policy = newPolicy;
        listener = newListener;
    }

    /** Returns the runners of a service that accept new requests. */
    List<Runner> runners(String service) {
        return registry.runners(service);
    }

    private void tryAssign(QueueEntry entry) {
        QueuedRequest request = entry.request();
        long now = nanos.getAsLong();
        SlotLimit limit = policy.slotLimit(request);
        List<Runner> runners = registry.runners(request.service());
        speeds.refresh(request.service(), runners, now);
        List<Candidate> candidates = runners.stream()
                .filter(request::accepts)
                .map(each -> candidate(each, request, limit, now))
                .toList();
        TypicalRequest typical =
                new TypicalRequest(prompts.typicalUncached(request), speeds.generationTokens(request.service()));
        Optional<Candidate> chosen = RunnerChoice.choose(candidates, typical, request.acceptsAnyRunner(), random);
        if (chosen.isPresent() && queue.remove(entry)) {
            loads.add(chosen.get().runner().incarnation());
            slots.request(
                    request,
                    chosen.get(),
                    loads::ownAt,
                    () -> assign(request, chosen.get(), nanos.getAsLong()),
                    () -> requeue(entry, chosen.get()));
        }
    }

    /** Puts a request that got no slot back to its position, and assigns queued requests elsewhere. */
    private void requeue(QueueEntry entry, Candidate chosen) {
        queue.add(entry);
        slots.retryLater(this::dispatch);
        releaseSlot(chosen.runner().incarnation());
    }

    private void assign(QueuedRequest request, Candidate chosen, long now) {
        String incarnation = chosen.runner().incarnation();
        prompts.recordSent(incarnation, request, chosen.uncachedTokens(), now);
        listener.onAssigned(request, now);
        request.assign(chosen);
    }

    private Candidate candidate(Runner runner, QueuedRequest request, SlotLimit limit, long now) {
        RunnerHealth runnerHealth = health.get(runner.incarnation());
        return new Candidate(
                runner,
                countedLoad(runner, request, limit, now),
                runnerHealth != null && runnerHealth.isSuspended(now),
                runner.zone().equals(zone),
                prompts.uncachedTokens(runner.incarnation(), request, now),
                speeds.factor(runner));
    }

    /** Returns the load of a runner; one whose free slots are reserved for other requests counts as full. */
    private int countedLoad(Runner runner, QueuedRequest request, SlotLimit limit, long now) {
        int own = loads.ownAt(runner.incarnation());
        int load = slots.load(request, runner, own, loads.at(runner.incarnation()) - own, now);
        int usualLimit = Candidate.maxLoad(runner.slots(), !request.prompt().isEmpty());
        return load < limit.highestLoad(runner.slots(), usualLimit) ? load : Math.max(load, usualLimit);
    }
}
