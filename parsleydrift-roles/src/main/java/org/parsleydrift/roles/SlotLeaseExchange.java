package org.parsleydrift.roles;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.placement.lease.LeaseAnswer;
import org.parsleydrift.placement.lease.LeaseId;
import org.parsleydrift.placement.lease.LeaseLimit;
import org.parsleydrift.placement.lease.LeaseRequests;
import org.parsleydrift.placement.lease.SlotLeases;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.relay.SlotGate;

/**
 * Exchanges slot leases with other entry nodes: asks the coordinators of runners for slots, and coordinates runners
 * itself (docs/design/slot-leases.md). Confined to its event loop.
 */
final class SlotLeaseExchange implements SlotGate {
    private static final Logger LOG = System.getLogger(SlotLeaseExchange.class.getName());
    /** Time for which releases are collected; a small part of a turn's duration. */
    private static final Duration RELEASE_DELAY = Duration.ofMillis(5);
    /** Period of checks for expired leases, nodes that are gone and pauses of the loop; well below the 500 ms gap. */
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final long processStart;
    private final Fleet fleet;
    private final LeaseLimit limit;
    private final SlotLeases leases;
    private final LeaseRequests requests = new LeaseRequests();
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final Map<String, String> links = new HashMap<>();
    private final Counter granted;
    private final Counter rejected;
    private final Counter timedOut;
    private Map<Long, Runner> runnersByKey = Map.of();
    private long runnersReadNanos;
    private Set<String> formerlyReady = Set.of();
    private boolean releaseScheduled;

    /**
     * Creates the exchange.
     *
     * @param loop event loop that the exchange is confined to
     * @param frames sends frames to other nodes
     * @param self this node
     * @param processStart random number that distinguishes this process from its predecessors
     * @param fleet nodes and runners as known to this node
     * @param limit maximum number of leases by rank
     * @param meters registry for the metrics
     */
    SlotLeaseExchange(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            long processStart,
            Fleet fleet,
            LeaseLimit limit,
            MeterRegistry meters) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.processStart = processStart;
        this.fleet = fleet;
        this.limit = limit;
        this.leases = new SlotLeases(loop.clock().nanos());
        this.runnersReadNanos = loop.clock().nanos() - CHECK_PERIOD.toNanos();
        this.granted = counter(meters, "granted");
        this.rejected = counter(meters, "rejected");
        this.timedOut = counter(meters, "timed_out");
        meters.gauge("parsleydrift.slot.leases.held", leases, SlotLeases::held);
    }

    /** Nodes and runners as known to this node. */
    interface Fleet {
        /** Whether slots of the service's runners are leased. */
        boolean isControlled(String service);

        /** Returns the live, ready nodes, including this one. */
        List<NodeIdentity> readyNodes();

        /** Returns all known runners. */
        List<Runner> runners();

        /** Returns the requests at a runner by the status exchange, including those of this node. */
        int reportedLoad(String incarnation);
    }

    /** Starts the periodic checks. */
    void start() {
        loop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
    }

    @Override
    public boolean isControlled(String service) {
        return fleet.isControlled(service);
    }

    @Override
    public Cancellable request(Runner runner, int rank, Duration time, Consumer<Answer> listener) {
        long key = RunnerKey.of(runner.incarnation());
        Map<String, String> zones = new HashMap<>();
        fleet.readyNodes().forEach(each -> {
            zones.put(each.name(), each.zone());
            links.put(each.name(), each.link());
        });
        Optional<String> coordinator = requests.coordinator(zones, runner.zone(), key, nowNanos());
        if (coordinator.isEmpty()) {
            listener.accept(new Granted(0, () -> {}));
            return () -> {};
        }
        // A slot that was just released must be free before it is asked for.
        sendReleases(coordinator.get(), requests.takeReleases(coordinator.get()));
        long number = requests.open(coordinator.get());
        LeaseFrame.Acquire acquire = new LeaseFrame.Acquire(
                self.name(), self.link(), processStart, number, key, Math.max(0, rank), time.toMillis());
        if (coordinator.get().equals(self.name())) {
            open.put(number, new OpenRequest(runner, rank, listener, () -> {}));
            LeaseAnswer answer = decide(acquire, 1);
            // The dispatcher must not be called back while it assigns other requests.
            loop.execute(() -> handleReply(number, answer));
        } else {
            Cancellable timer = loop.schedule(LeaseRequests.ANSWER_TIMEOUT, () -> handleTimeout(number));
            open.put(number, new OpenRequest(runner, rank, listener, timer));
            frames.send(links.get(coordinator.get()), acquire.encode());
        }
        return () -> withdraw(number);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        loop.schedule(delay, task);
    }

    /** Handles a frame; returns false if it is not one about leases. A malformed one is dropped. */
    boolean receive(byte[] frame) {
        if (!LeaseFrame.isLeaseFrame(frame)) {
            return false;
        }
        try {
            switch (LeaseFrame.decode(frame)) {
                case LeaseFrame.Acquire acquire -> {
                    LeaseAnswer answer = decide(acquire, 0);
                    LeaseFrame reply = new LeaseFrame.Reply(
                            acquire.processStart(), acquire.number(), answer.granted(), answer.leases());
                    frames.send(acquire.link(), reply.encode());
                }
                case LeaseFrame.Reply reply -> {
                    if (reply.processStart() == processStart) {
                        handleReply(reply.number(), new LeaseAnswer(reply.granted(), reply.leases()));
                    }
                }
                case LeaseFrame.Release release ->
                    release.numbers()
                            .forEach(each -> leases.release(new LeaseId(release.node(), release.processStart(), each)));
            }
        } catch (StepException fault) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("lease_frame_malformed").failure(fault).toString());
        }
        return true;
    }

    /**
     * Decides as coordinator. A runner that this node does not know yet is granted without a limit, since the requesting
     * node knows it and limits its own requests.
     *
     * @param ownRequests requests that the reported load contains for this lease
     */
    private LeaseAnswer decide(LeaseFrame.Acquire acquire, int ownRequests) {
        Optional<Runner> runner = findRunner(acquire.runner());
        return leases.acquire(
                new LeaseId(acquire.node(), acquire.processStart(), acquire.number()),
                new SlotLeases.Request(
                        acquire.runner(),
                        runner.map(each -> limit.limit(each.service(), acquire.rank(), each.slots()))
                                .orElse(Integer.MAX_VALUE),
                        runner.map(each -> fleet.reportedLoad(each.incarnation()) - ownRequests)
                                .orElse(0),
                        Duration.ofMillis(acquire.millis())),
                nowNanos());
    }

    private Optional<Runner> findRunner(long key) {
        long now = nowNanos();
        if (!runnersByKey.containsKey(key) && now - runnersReadNanos >= CHECK_PERIOD.toNanos()) {
            runnersReadNanos = now;
            runnersByKey = fleet.runners().stream()
                    .collect(Collectors.toMap(
                            each -> RunnerKey.of(each.incarnation()), each -> each, (one, other) -> other));
        }
        return Optional.ofNullable(runnersByKey.get(key));
    }

    private void handleReply(long number, LeaseAnswer answer) {
        boolean waiting = requests.recordAnswer(number, answer.granted());
        OpenRequest request = open.remove(number);
        if (!waiting || request == null) {
            return;
        }
        request.timer().cancel();
        if (answer.granted()) {
            granted.increment();
            request.listener().accept(new Granted(answer.leases(), () -> release(number)));
            return;
        }
        rejected.increment();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("slot_lease_rejected")
                        .with("runner", request.runner().incarnation())
                        .with("rank", request.rank())
                        .with("leases", answer.leases())
                        .with("slots", request.runner().slots())
                        .toString());
        request.listener().accept(new Rejected(answer.leases()));
    }

    /** Without an answer the request is sent as if leases did not exist; over-admission ends in the runner's queue. */
    private void handleTimeout(long number) {
        OpenRequest request = open.remove(number);
        Optional<String> coordinator = requests.recordTimeout(number, nowNanos());
        if (request == null || coordinator.isEmpty()) {
            return;
        }
        timedOut.increment();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("slot_lease_timeout")
                        .with("coordinator", coordinator.get())
                        .with("runner", request.runner().incarnation())
                        .toString());
        request.listener().accept(new Granted(0, () -> release(number)));
    }

    private void withdraw(long number) {
        OpenRequest request = open.remove(number);
        if (request != null) {
            request.timer().cancel();
            release(number);
        }
    }

    private void release(long number) {
        requests.release(number);
        if (!releaseScheduled) {
            releaseScheduled = true;
            loop.schedule(RELEASE_DELAY, this::sendReleases);
        }
    }

    private void sendReleases() {
        releaseScheduled = false;
        requests.takeReleases().forEach(this::sendReleases);
    }

    private void sendReleases(String coordinator, List<Long> numbers) {
        if (coordinator.equals(self.name())) {
            numbers.forEach(each -> leases.release(new LeaseId(self.name(), processStart, each)));
        } else if (!numbers.isEmpty()) {
            LeaseFrame release = new LeaseFrame.Release(self.name(), processStart, numbers);
            frames.send(links.get(coordinator), release.encode());
        }
    }

    /** Leases of a node end when it leaves the ready nodes; those that it acquires while it drains expire. */
    private void check() {
        leases.recordLoopRun(nowNanos());
        Set<String> ready = fleet.readyNodes().stream().map(NodeIdentity::name).collect(Collectors.toSet());
        Set<String> gone = new HashSet<>(formerlyReady);
        gone.removeAll(ready);
        gone.remove(self.name());
        leases.removeNodes(gone);
        formerlyReady = ready;
    }

    private long nowNanos() {
        return loop.clock().nanos();
    }

    private static Counter counter(MeterRegistry meters, String outcome) {
        return Counter.builder("parsleydrift.slot.leases")
                .tag("outcome", outcome)
                .register(meters);
    }

    private record OpenRequest(Runner runner, int rank, Consumer<Answer> listener, Cancellable timer) {}
}
