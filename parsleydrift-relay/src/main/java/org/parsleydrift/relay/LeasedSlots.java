package org.parsleydrift.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.lease.ExactLoads;
import org.parsleydrift.placement.lease.RunnerSaturation;
import org.parsleydrift.placement.lease.SlotLeases;
import org.parsleydrift.registry.Runner;

/**
 * Slots that the requests of a {@link Dispatcher} ask a {@link SlotGate} for: the requests that wait for an answer, the
 * leases of those that were granted a slot, and what the answers tell about the load of runners.
 */
final class LeasedSlots {
    /**
     * Time after which a rejected request may ask for the same runner again; a runner with six slots and turns of 170 ms
     * frees a slot about as often.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(30);

    private final SlotGate gate;
    private final LongSupplier nanos;
    private final Map<QueuedRequest, Pending> pending = new HashMap<>();
    private final Map<Key, Cancellable> leases = new HashMap<>();
    /** End of the time for which a request counts a runner as full, since the runner's coordinator rejected it, ns. */
    private final Map<Key, Long> rejectedUntil = new HashMap<>();

    private final ExactLoads exactLoads = new ExactLoads();
    private final RunnerSaturation saturation = new RunnerSaturation();
    private boolean retryScheduled;

    /** Creates the state without requests; the clock is the monotonic one of the loop, ns. */
    LeasedSlots(SlotGate gate, LongSupplier nanos) {
        this.gate = gate;
        this.nanos = nanos;
    }

    /** Returns the requests that wait for an answer. */
    Set<QueuedRequest> pending() {
        return pending.keySet();
    }

    /**
     * Asks for a slot. Exactly one of the tasks runs, at once if the service is not controlled, unless the request is
     * withdrawn before.
     *
     * @param ownLoad returns this node's load of a runner, which includes the request
     */
    void request(
            QueuedRequest request,
            Candidate chosen,
            ToIntFunction<String> ownLoad,
            Runnable onGranted,
            Runnable onRejected) {
        if (!gate.isControlled(request.service())) {
            onGranted.run();
            return;
        }
        Runner runner = chosen.runner();
        Pending waiting = new Pending(runner.incarnation());
        pending.put(request, waiting);
        long leftNanos = request.facts().deadlineNanos() - nanos.getAsLong();
        Duration time = Duration.ofNanos(Math.clamp(leftNanos, 0, SlotLeases.MAX_LEASE.toNanos()));
        waiting.withdrawal = gate.request(runner, request.priority(), time, answer -> {
            pending.remove(request);
            int own = ownLoad.applyAsInt(runner.incarnation());
            switch (answer) {
                case SlotGate.Granted granted -> {
                    leases.put(new Key(request, runner.incarnation()), granted.lease());
                    recordLoad(runner, granted.leases(), own);
                    forgetRejections(request);
                    onGranted.run();
                }
                case SlotGate.Rejected rejected -> {
                    recordLoad(runner, rejected.leases(), own - 1);
                    long endNanos = nanos.getAsLong() + RETRY_DELAY.toNanos();
                    rejectedUntil.put(new Key(request, runner.incarnation()), endNanos);
                    onRejected.run();
                }
            }
        });
    }

    /** Withdraws a request that waits for an answer; returns the incarnation of the runner that it was to be sent to. */
    Optional<String> withdraw(QueuedRequest request) {
        Optional<Pending> withdrawn = Optional.ofNullable(pending.remove(request));
        withdrawn.ifPresent(each -> each.withdrawal.cancel());
        forgetRejections(request);
        return withdrawn.map(each -> each.incarnation);
    }

    /** Releases the lease of a request; without effect if it has none at the runner. */
    void release(QueuedRequest request, String incarnation) {
        Cancellable lease = leases.remove(new Key(request, incarnation));
        if (lease != null) {
            lease.cancel();
        }
    }

    /** Runs a task at the time to try rejected requests again; once for all that wait for it. */
    void retryLater(Runnable retry) {
        if (!retryScheduled) {
            retryScheduled = true;
            gate.schedule(RETRY_DELAY, () -> {
                retryScheduled = false;
                retry.run();
            });
        }
    }

    /** Marks a runner that rejected a request as full, if its service is controlled; then runs the task later. */
    void recordRejection(Runner runner, Runnable retry) {
        if (gate.isControlled(runner.service())) {
            saturation.recordRejection(runner.incarnation(), nanos.getAsLong());
            retryLater(retry);
        }
    }

    /**
     * Returns the load of a runner by own requests and those of peers, as far as known; a full load if the runner
     * rejects requests, or its coordinator has just rejected this one.
     */
    int load(QueuedRequest request, Runner runner, int own, int reported, long now) {
        int load = own + exactLoads.peerLoad(runner.incarnation(), reported, now);
        Long endNanos = rejectedUntil.get(new Key(request, runner.incarnation()));
        return saturation.isSaturated(runner.incarnation(), now) || (endNanos != null && endNanos - now > 0)
                ? Math.max(load, Candidate.maxLoad(runner.slots(), true))
                : load;
    }

    void retainRunners(Set<String> incarnations) {
        exactLoads.retainRunners(incarnations);
        saturation.retainRunners(incarnations);
    }

    private void forgetRejections(QueuedRequest request) {
        rejectedUntil.keySet().removeIf(each -> each.request().equals(request));
    }

    private void recordLoad(Runner runner, int known, int own) {
        if (known > 0) {
            exactLoads.record(runner.incarnation(), known, own, nanos.getAsLong());
        }
    }

    private static final class Pending {
        private final String incarnation;
        private Cancellable withdrawal = () -> {};

        private Pending(String incarnation) {
            this.incarnation = incarnation;
        }
    }

    private record Key(QueuedRequest request, String incarnation) {}
}
