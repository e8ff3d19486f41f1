package org.parsleydrift.roles;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.relay.LossReceiver;
import org.parsleydrift.relay.RunnerLosses;

/**
 * Reports the runners at which work was left unfinished to all entry nodes, in large fleets through the hubs of
 * {@link MeshPlan}. A node that has just started asks a few peers for the latest ones, and each peer that it hears for the
 * first time or again, as reports to nodes that are not connected are lost. Confined to its event loop.
 */
final class RunnerLossExchange implements RunnerLosses.Publisher {
    private static final Logger LOG = System.getLogger(RunnerLossExchange.class.getName());
    /** Time within which only a few of the peers that become ready are asked. */
    private static final Duration QUERY_PERIOD = Duration.ofMillis(100);
    /** Maximum number of peers that are asked in a period. */
    private static final int QUERIED_PEERS = 3;
    /** Time for which reports are sent to a node that has asked, as not all nodes may know it yet. */
    private static final Duration REPORTED_TO_ASKER = Duration.ofSeconds(2);
    /** Time in which what was sent to the askers is not passed on to them again. */
    private static final Duration ECHO_TIME = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownLink;
    private final Supplier<MeshPlan> plan;
    private final LossReceiver receiver;
    private final IntFunction<List<RunnerLoss>> latest;
    private final List<RunnerLoss> unsentLost = new ArrayList<>();
    private final List<RunnerLoss> unsentUnfinished = new ArrayList<>();
    private final Counter sent;
    private final Counter received;
    /** Times of the latest queries, ns, by link address. */
    private final Map<String, Long> askers = new HashMap<>();
    /** Times at which losses were sent to the askers, ns. */
    private final Map<Passed, Long> passed = new HashMap<>();

    private final RunnerLossSync sync;
    private OptionalLong lastReceivedNanos = OptionalLong.empty();
    private long periodStartNanos;
    private int queriesInPeriod;

    /** Creates frames of one kind. */
    private interface Frames {
        RunnerLossFrame create(RunnerLossFrame.Scope scope, List<RunnerLoss> losses);
    }

    /** A loss that was sent to the askers in a frame of a type. */
    private record Passed(byte type, RunnerLoss loss) {}

    /**
     * Creates the exchange.
     *
     * @param loop event loop that the exchange is confined to
     * @param frames sends frames to other nodes
     * @param ownLink link address of this node
     * @param plan current receivers of this node's status
     * @param receiver receives what peers report
     * @param latest returns the latest known losses, at most as many as given
     * @param currentListener called when the losses that the peers have seen are known from now on
     * @param meters registry for the metrics
     */
    RunnerLossExchange(
            EventLoop loop,
            FrameSender frames,
            String ownLink,
            Supplier<MeshPlan> plan,
            LossReceiver receiver,
            IntFunction<List<RunnerLoss>> latest,
            Runnable currentListener,
            MeterRegistry meters) {
        this.loop = loop;
        this.frames = frames;
        this.ownLink = ownLink;
        this.plan = plan;
        this.receiver = receiver;
        this.latest = latest;
        this.sync = new RunnerLossSync(loop, () -> plan.get().stateReceivers(), this::query, currentListener);
        this.sent = counter(meters, "sent");
        this.received = counter(meters, "received");
        meters.gauge("parsleydrift.runner.losses.age.seconds", this, RunnerLossExchange::receivedAgeSeconds);
    }

    private static Counter counter(MeterRegistry meters, String direction) {
        return Counter.builder("parsleydrift.runner.losses")
                .tag("direction", direction)
                .register(meters);
    }

    /** Returns the time since a peer last reported losses, s; not a number if none has. */
    private double receivedAgeSeconds() {
        return lastReceivedNanos.isEmpty() ? Double.NaN : (loop.clock().nanos() - lastReceivedNanos.getAsLong()) / 1e9;
    }

    /** Starts to ask peers for the latest losses. */
    void start() {
        sync.start();
    }

    /** Handles the platform's first list of nodes; the peers in it are known by now. */
    void peersListed() {
        sync.peersListed();
    }

    /** Returns whether the losses that the peers have seen are known. */
    boolean isCurrent() {
        return sync.isCurrent();
    }

    /**
     * Reports a loss that this node has seen. First losses of the same moment share a frame, since all requests at a runner
     * are lost with it. A further one under the same work is sent at once, before the caller is answered and tries again.
     */
    @Override
    public void publish(RunnerLoss loss, boolean connectionLost, int lostRunners) {
        (connectionLost ? unsentLost : unsentUnfinished).add(loss);
        if (lostRunners > 1) {
            sendUnsent();
        } else if (unsentLost.size() + unsentUnfinished.size() == 1) {
            loop.execute(this::sendUnsent);
        }
    }

    @Override
    public void retract(List<RunnerLoss> losses) {
        // A retraction must not overtake its report.
        sendUnsent();
        sendToAll(RunnerLossFrame.Retraction::new, losses);
    }

    /** Handles a frame; returns false if its type is not one of the exchange. */
    boolean receive(byte[] frame) {
        if (!RunnerLossFrame.isLossFrame(frame)) {
            return false;
        }
        switch (RunnerLossFrame.decode(frame)) {
            case RunnerLossFrame.Report report -> {
                accept(report.losses(), report.connectionLost());
                Frames kind = reports(report.connectionLost());
                forward(kind, report.scope(), report.losses());
                byte type = report.connectionLost() ? RunnerLossFrame.REPORT : RunnerLossFrame.UNFINISHED;
                sendToAskers(kind, withoutEchoes(type, report.losses()));
            }
            case RunnerLossFrame.Retraction retraction -> {
                receiver.recordRetracted(retraction.losses());
                forward(RunnerLossFrame.Retraction::new, retraction.scope(), retraction.losses());
                sendToAskers(
                        RunnerLossFrame.Retraction::new,
                        withoutEchoes(RunnerLossFrame.RETRACTION, retraction.losses()));
            }
            case RunnerLossFrame.Query asked -> answer(asked.link());
            case RunnerLossFrame.Answer answer -> {
                accept(answer.losses(), true);
                sync.recordAnswer();
            }
        }
        return true;
    }

    /** Asks a peer that has become ready or is heard again. */
    void peerReady(NodeIdentity peer) {
        long now = loop.clock().nanos();
        if (now - periodStartNanos >= QUERY_PERIOD.toNanos()) {
            periodStartNanos = now;
            queriesInPeriod = 0;
        }
        if (queriesInPeriod++ < QUERIED_PEERS) {
            query(peer);
        }
    }

    private void query(NodeIdentity peer) {
        frames.send(peer.link(), new RunnerLossFrame.Query(ownLink).encode());
    }

    /** Answers a query; if this node does not know what its peers have seen, it only reports what it has seen itself. */
    private void answer(String asker) {
        askers.put(asker, loop.clock().nanos());
        List<RunnerLoss> losses = latest.apply(RunnerLossFrame.MAX_LOSSES);
        if (sync.isCurrent()) {
            frames.send(asker, new RunnerLossFrame.Answer(losses).encode());
        } else if (!losses.isEmpty()) {
            frames.send(asker, new RunnerLossFrame.Report(RunnerLossFrame.Scope.RECEIVER, true, losses).encode());
        }
    }

    /**
     * Returns the losses that have not been passed on just now. Nodes that start together ask each other, and would pass on
     * each other's reports without end.
     */
    private List<RunnerLoss> withoutEchoes(byte type, List<RunnerLoss> losses) {
        long now = loop.clock().nanos();
        passed.values().removeIf(each -> now - each > ECHO_TIME.toNanos());
        return losses.stream()
                .filter(each -> passed.putIfAbsent(new Passed(type, each), now) == null)
                .toList();
    }

    private static Frames reports(boolean connectionLost) {
        return (scope, losses) -> new RunnerLossFrame.Report(scope, connectionLost, losses);
    }

    private void accept(List<RunnerLoss> losses, boolean connectionLost) {
        if (losses.isEmpty()) {
            return;
        }
        received.increment(losses.size());
        lastReceivedNanos = OptionalLong.of(loop.clock().nanos());
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_losses_received")
                        .with("losses", losses.size())
                        .with("work", losses.getFirst().work())
                        .toString());
        receiver.recordReported(losses, connectionLost);
    }

    private void sendUnsent() {
        sendUnsent(unsentLost, true);
        sendUnsent(unsentUnfinished, false);
    }

    private void sendUnsent(List<RunnerLoss> unsent, boolean connectionLost) {
        if (unsent.isEmpty()) {
            return;
        }
        List<RunnerLoss> losses = List.copyOf(unsent);
        unsent.clear();
        sent.increment(losses.size());
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_losses_sent")
                        .with("losses", losses.size())
                        .with("work", losses.getFirst().work())
                        .with("receivers", plan.get().stateReceivers().size())
                        .toString());
        sendToAll(reports(connectionLost), losses);
    }

    private void sendToAll(Frames kind, List<RunnerLoss> losses) {
        for (int from = 0; from < losses.size(); from += RunnerLossFrame.MAX_LOSSES) {
            List<RunnerLoss> part = losses.subList(from, Math.min(losses.size(), from + RunnerLossFrame.MAX_LOSSES));
            if (plan.get().isHub()) {
                forward(kind, RunnerLossFrame.Scope.ALL_ZONES, part);
            } else {
                send(links(plan.get().stateReceivers()), kind.create(RunnerLossFrame.Scope.ALL_ZONES, part));
            }
            sendToAskers(kind, part);
        }
    }

    /** Forwards losses to the nodes that have yet to receive them, if this node is a hub. */
    private void forward(Frames kind, RunnerLossFrame.Scope scope, List<RunnerLoss> losses) {
        MeshPlan current = plan.get();
        if (!current.isHub() || scope == RunnerLossFrame.Scope.RECEIVER) {
            return;
        }
        send(links(current.allSummariesReceivers()), kind.create(RunnerLossFrame.Scope.RECEIVER, losses));
        if (scope == RunnerLossFrame.Scope.ALL_ZONES) {
            send(links(current.summaryReceivers()), kind.create(RunnerLossFrame.Scope.OWN_ZONE, losses));
        }
    }

    private void sendToAskers(Frames kind, List<RunnerLoss> losses) {
        long now = loop.clock().nanos();
        askers.values().removeIf(each -> now - each > REPORTED_TO_ASKER.toNanos());
        if (losses.isEmpty() || askers.isEmpty()) {
            return;
        }
        List<String> receivers = links(plan.get().stateReceivers());
        send(
                askers.keySet().stream()
                        .filter(each -> !receivers.contains(each))
                        .toList(),
                kind.create(RunnerLossFrame.Scope.RECEIVER, losses));
    }

    private void send(List<String> links, RunnerLossFrame frame) {
        byte[] encoded = frame.encode();
        links.forEach(each -> frames.send(each, encoded));
    }

    private static List<String> links(List<NodeIdentity> nodes) {
        return nodes.stream().map(NodeIdentity::link).toList();
    }
}
