package org.parsleydrift.placement.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Leases that a coordinator has granted. It keeps no queue: a request is granted or rejected at once. While its counts
 * may be too low, since it is new for a runner or its event loop stood still, the load reported by the status exchange
 * counts if it is larger. Not thread-safe.
 */
public final class SlotLeases {
    /** Maximum lease time; bounds how long the leases of a node that died unnoticed count. */
    public static final Duration MAX_LEASE = Duration.ofSeconds(8);

    /**
     * Time for which the reported load counts. Exceeds the delay of the status exchange in fleets with hubs and the
     * duration of most turns that were placed before.
     */
    static final Duration CAUTION = Duration.ofMillis(1500);
    /** Time without a run of the event loop after which releases and other coordinators may have been missed. */
    static final Duration MAX_LOOP_GAP = Duration.ofMillis(500);

    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final Map<Long, Integer> counts = new HashMap<>();
    private final Map<Long, Coordination> coordinations = new HashMap<>();
    private final PriorityQueue<Expiry> expiries =
            new PriorityQueue<>((one, other) -> Long.signum(one.nanos() - other.nanos()));
    private long lastRunNanos;
    private long cautiousUntilNanos;

    /**
     * Creates the state without leases.
     *
     * @param nowNanos monotonic time, ns
     */
    public SlotLeases(long nowNanos) {
        lastRunNanos = nowNanos;
        cautiousUntilNanos = nowNanos;
    }

    /**
     * Grants or rejects a lease; a repeated request renews its lease.
     *
     * @param id identity of the lease
     * @param request what is asked for
     * @param nowNanos monotonic time, ns
     * @return the answer
     */
    public LeaseAnswer acquire(LeaseId id, Request request, long nowNanos) {
        recordLoopRun(nowNanos);
        int count = counts.getOrDefault(request.runner(), 0);
        int load = isCautious(request.runner(), nowNanos) ? Math.max(count, request.reportedLoad()) : count;
        boolean renewal = leases.containsKey(id);
        if (!renewal && load >= request.limit()) {
            return new LeaseAnswer(false, load);
        }
        Duration time = request.time().compareTo(MAX_LEASE) < 0 ? request.time() : MAX_LEASE;
        Lease lease = new Lease(request.runner(), nowNanos + time.toNanos());
        leases.put(id, lease);
        expiries.add(new Expiry(id, lease.expiryNanos()));
        if (!renewal) {
            counts.merge(request.runner(), 1, Integer::sum);
        }
        return new LeaseAnswer(true, renewal ? load : load + 1);
    }

    /**
     * Ends a lease; without effect if it has ended already.
     *
     * @param id identity of the lease
     */
    public void release(LeaseId id) {
        Lease ended = leases.remove(id);
        if (ended != null) {
            counts.computeIfPresent(ended.runner(), (runner, count) -> count <= 1 ? null : count - 1);
        }
    }

    /**
     * Ends the leases of nodes that are gone.
     *
     * @param nodes names of the nodes
     */
    public void removeNodes(Set<String> nodes) {
        List.copyOf(leases.keySet()).stream()
                .filter(each -> nodes.contains(each.node()))
                .forEach(this::release);
    }

    /**
     * Records that the event loop runs, and ends expired leases. To be called at intervals well below 500 ms, since a
     * longer gap counts as a pause.
     *
     * @param nowNanos monotonic time, ns
     */
    public void recordLoopRun(long nowNanos) {
        if (nowNanos - lastRunNanos > MAX_LOOP_GAP.toNanos()) {
            cautiousUntilNanos = nowNanos + CAUTION.toNanos();
        }
        lastRunNanos = nowNanos;
        while (!expiries.isEmpty() && expiries.peek().nanos() - nowNanos <= 0) {
            LeaseId id = expiries.poll().id();
            Lease lease = leases.get(id);
            if (lease != null && lease.expiryNanos() - nowNanos <= 0) {
                release(id);
            }
        }
        coordinations.values().removeIf(each -> nowNanos - each.lastNanos() > MAX_LEASE.toNanos());
    }

    /**
     * Returns the number of leases at all runners.
     *
     * @return number of leases
     */
    public int held() {
        return leases.size();
    }

    /** A runner without requests for a while counts as new, since another node may have coordinated it meanwhile. */
    private boolean isCautious(long runner, long nowNanos) {
        Coordination former = coordinations.get(runner);
        boolean begins = former == null || nowNanos - former.lastNanos() > CAUTION.toNanos();
        long sinceNanos = begins ? nowNanos : former.sinceNanos();
        coordinations.put(runner, new Coordination(sinceNanos, nowNanos));
        return nowNanos - sinceNanos < CAUTION.toNanos() || cautiousUntilNanos - nowNanos > 0;
    }

    /**
     * Request for a lease.
     *
     * @param runner {@link org.parsleydrift.registry.RunnerKey} of the runner's incarnation
     * @param limit number of leases at the runner up to which the lease may be granted
     * @param reportedLoad requests at the runner by the status exchange, without this one
     * @param time time until the lease expires; bounded by {@link #MAX_LEASE}
     */
    public record Request(long runner, int limit, int reportedLoad, Duration time) {}

    private record Lease(long runner, long expiryNanos) {}

    private record Expiry(LeaseId id, long nanos) {}

    private record Coordination(long sinceNanos, long lastNanos) {}
}
