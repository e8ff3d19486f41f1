package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.placement.RunnerLossTracker;
import org.parsleydrift.placement.WorkKey;
import org.parsleydrift.relay.LossReceiver;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reports of lost runners between entry nodes, in a full mesh and through hubs. */
public class RunnerLossExchangeTest {
    private static final WorkKey WORK = new WorkKey(1, 2);
    private static final Duration RETURN_OF_CALLER = Duration.ofMillis(4);

    private final Map<String, RunnerLossTracker> trackers = new HashMap<>();
    private final Map<String, RunnerLossExchange> exchanges = new HashMap<>();
    private final MeterRegistry meters = new SimpleMeterRegistry();

    @DataProvider
    public static Object[][] sizes() {
        return new Object[][] {{7}, {60}, {360}};
    }

    private MeshFleet connectedFleet(int nodes) {
        trackers.clear();
        MeshFleet fleet = new MeshFleet(3, nodes);
        fleet.members.values().forEach(this::connect);
        return fleet;
    }

    private void connect(MeshMember member) {
        connect(member, member.mesh::plan);
    }

    private void connect(MeshMember member, Supplier<MeshPlan> plan) {
        String name = member.identity.name();
        RunnerLossTracker tracker = new RunnerLossTracker();
        RunnerLossExchange exchange = new RunnerLossExchange(
                member.loop,
                member.frames,
                member.identity.link(),
                plan,
                receiver(tracker),
                tracker::latest,
                () -> {},
                meters);
        member.otherFrames = exchange::receive;
        trackers.put(name, tracker);
        exchanges.put(name, exchange);
    }

    private static LossReceiver receiver(RunnerLossTracker tracker) {
        return new LossReceiver() {
            @Override
            public void recordReported(List<RunnerLoss> losses, boolean connectionLost) {
                losses.forEach(each -> tracker.record(each, 0));
            }

            @Override
            public void recordRetracted(List<RunnerLoss> losses) {
                losses.forEach(tracker::remove);
            }
        };
    }

    private void publish(String node, long runner) {
        RunnerLoss loss = new RunnerLoss(WORK, runner);
        trackers.get(node).record(loss, 0);
        exchanges.get(node).publish(loss, true, trackers.get(node).lostRunners(loss.work()));
    }

    private List<Integer> lostRunners() {
        return trackers.values().stream()
                .map(each -> each.lostRunners(WORK))
                .distinct()
                .toList();
    }

    /** Guards against nodes that send a request on, as the runners it has ended are known to other nodes only. */
    @Test(dataProvider = "sizes")
    public void lossesReachAllNodesBeforeTheCallerReturns(int nodes) {
        MeshFleet fleet = connectedFleet(nodes);
        List<String> names = List.copyOf(fleet.members.keySet());
        publish(names.getFirst(), 10);
        publish(names.get(nodes / 2), 11);
        publish(names.getLast(), 12);
        fleet.time.advance(RETURN_OF_CALLER);
        assertEquals(lostRunners(), List.of(RunnerLossTracker.MAX_LOST_RUNNERS));
    }

    /** Guards against requests that other nodes reject although the runners were only silent. */
    @Test(dataProvider = "sizes")
    public void retractionReachesAllNodesAfterItsReport(int nodes) {
        MeshFleet fleet = connectedFleet(nodes);
        String node = List.copyOf(fleet.members.keySet()).getLast();
        publish(node, 10);
        RunnerLoss loss = new RunnerLoss(WORK, 10);
        trackers.get(node).remove(loss);
        exchanges.get(node).retract(List.of(loss));
        publish(node, 11);
        fleet.time.advance(RETURN_OF_CALLER);
        assertEquals(lostRunners(), List.of(1));
    }

    /** Guards against a node that sends a request on, as it has started after the runners ended. */
    @Test
    public void startingNodeLearnsEarlierLosses() {
        MeshFleet fleet = connectedFleet(7);
        publish("n00", 10);
        publish("n01", 11);
        fleet.time.advance(RETURN_OF_CALLER);
        connect(fleet.members.get("n04"));
        assertEquals(trackers.get("n04").lostRunners(WORK), 0);
        exchanges.get("n04").start();
        fleet.time.advance(Duration.ofMillis(200));
        assertEquals(trackers.get("n04").lostRunners(WORK), 2);
    }

    /** Guards against a caller who returns to another node before the loss that led to its answer is reported there. */
    @Test
    public void furtherLossOfWorkIsSentBeforeTheCallerIsAnswered() {
        MeshFleet fleet = connectedFleet(7);
        publish("n00", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        int sentBefore = fleet.members.get("n00").sentFrames;
        publish("n00", 11);
        assertEquals(fleet.members.get("n00").sentFrames - sentBefore, 6, "frames sent within the call");
    }

    /** Guards against nodes that start together, ask each other, and pass on each other's reports without end. */
    @Test
    public void nodesThatAskEachOtherDoNotEchoReports() {
        trackers.clear();
        MeshFleet fleet = new MeshFleet(3, 7);
        MeshMember withoutPeers = new MeshFleet(1, 1).members.get("n00");
        fleet.members.values().forEach(each -> connect(each, withoutPeers.mesh::plan));
        exchanges.forEach((name, exchange) -> fleet.members.values().stream()
                .filter(each -> !each.identity.name().equals(name))
                .forEach(each -> exchange.receive(new RunnerLossFrame.Query(each.identity.link()).encode())));
        int before = sentFrames(fleet);
        publish("n00", 10);
        for (int millis = 0; millis < 500; millis++) {
            fleet.time.advance(Duration.ofMillis(1));
            int sent = sentFrames(fleet) - before;
            assertTrue(sent < 1000, sent + " frames within " + millis + " ms");
        }
        assertEquals(lostRunners(), List.of(1));
    }

    /** Guards against empty reports, which nodes that start together would pass on without end as well. */
    @Test
    public void startingNodeWithoutLossesReportsNone() {
        MeshFleet fleet = connectedFleet(7);
        exchanges.get("n00").start();
        assertFalse(exchanges.get("n00").isCurrent());
        int before = fleet.members.get("n00").sentFrames;
        exchanges
                .get("n00")
                .receive(new RunnerLossFrame.Query(
                                fleet.members.get("n01").identity.link())
                        .encode());
        assertEquals(fleet.members.get("n00").sentFrames, before);
    }

    private static int sentFrames(MeshFleet fleet) {
        return fleet.members.values().stream().mapToInt(each -> each.sentFrames).sum();
    }

    /** Guards against a node that stops asking for earlier losses, as it takes the report of a new one for an answer. */
    @Test
    public void reportIsNoAnswerToAStartingNode() {
        MeshFleet fleet = connectedFleet(7);
        publish("n00", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        connect(fleet.members.get("n04"));
        RunnerLoss other = new RunnerLoss(new WorkKey(3, 4), 11);
        exchanges
                .get("n04")
                .receive(new RunnerLossFrame.Report(RunnerLossFrame.Scope.RECEIVER, true, List.of(other)).encode());
        exchanges.get("n04").start();
        fleet.time.advance(Duration.ofMillis(200));
        assertEquals(trackers.get("n04").lostRunners(WORK), 1);
    }

    /** Guards against a node that never hears of the losses that its peers reported while it was cut off from them. */
    @Test
    public void nodeThatHearsAPeerAgainLearnsItsLosses() {
        MeshFleet fleet = connectedFleet(7);
        MeshMember partitioned = fleet.members.get("n04");
        partitioned.mesh.setPeerReadyListener(exchanges.get("n04")::peerReady);
        partitioned.disconnected = true;
        fleet.time.advance(Duration.ofSeconds(3));
        publish("n00", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        assertEquals(trackers.get("n04").lostRunners(WORK), 0);
        partitioned.disconnected = false;
        fleet.time.advance(Duration.ofSeconds(2));
        assertEquals(trackers.get("n04").lostRunners(WORK), 1);
    }

    /** Guards against a node that sends a request to a runner before it hears which runners the request has ended. */
    @Test
    public void startingNodeIsCurrentOncePeersHaveAnswered() {
        MeshFleet fleet = connectedFleet(7);
        publish("n00", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        connect(fleet.members.get("n04"));
        exchanges.get("n04").start();
        exchanges.get("n04").peersListed();
        assertFalse(exchanges.get("n04").isCurrent());
        fleet.time.advance(RETURN_OF_CALLER);
        assertTrue(exchanges.get("n04").isCurrent());
        assertEquals(trackers.get("n04").lostRunners(WORK), 1);
    }

    /** Guards against a node that never serves, as all of its peers are gone. */
    @Test
    public void startingNodeDoesNotWaitForPeersThatAreGone() {
        MeshFleet fleet = connectedFleet(7);
        fleet.members.get("n04").disconnected = true;
        exchanges.get("n04").start();
        exchanges.get("n04").peersListed();
        assertFalse(exchanges.get("n04").isCurrent());
        fleet.time.advance(Duration.ofMillis(400));
        assertTrue(exchanges.get("n04").isCurrent());
    }

    /** Guards against a process that goes on after a pause and sends a request on, as it missed reports meanwhile. */
    @Test
    public void pausedNodeIsCurrentOncePeersHaveAnsweredAgain() {
        MeshFleet fleet = connectedFleet(7);
        MeshMember paused = fleet.members.get("n04");
        exchanges.get("n04").start();
        fleet.time.advance(Duration.ofSeconds(1));
        assertTrue(exchanges.get("n04").isCurrent());
        paused.disconnected = true;
        paused.loop.pause();
        publish("n00", 10);
        fleet.time.advance(Duration.ofSeconds(2));
        paused.disconnected = false;
        assertFalse(exchanges.get("n04").isCurrent());
        paused.loop.resume();
        fleet.time.advance(RETURN_OF_CALLER);
        assertTrue(exchanges.get("n04").isCurrent());
        assertEquals(trackers.get("n04").lostRunners(WORK), 1);
    }

    /** Guards against losses that a starting node never hears of, as the node that sees them does not know it yet. */
    @Test
    public void lossIsReportedToANodeThatHasAsked() {
        MeshFleet fleet = connectedFleet(7);
        fleet.add(7, 8);
        connect(fleet.members.get("n07"));
        MeshMember starting = fleet.members.get("n07");
        starting.mesh.addPeer(fleet.members.get("n00").identity);
        exchanges.get("n07").start();
        exchanges.get("n07").peersListed();
        fleet.time.advance(RETURN_OF_CALLER);
        publish("n05", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        assertEquals(trackers.get("n07").lostRunners(WORK), 1);
    }

    /** Guards against a loss that a starting node sees before its first status round, and reports to nobody. */
    @Test
    public void startingNodeReportsToListedPeersAtOnce() {
        MeshFleet fleet = connectedFleet(7);
        fleet.add(7, 8);
        connect(fleet.members.get("n07"));
        MeshMember starting = fleet.members.get("n07");
        fleet.members.values().forEach(each -> starting.mesh.addPeer(each.identity));
        publish("n07", 10);
        fleet.time.advance(RETURN_OF_CALLER);
        assertEquals(lostRunners(), List.of(1));
    }

    /** Guards against frames of a length that grows without bound. */
    @Test
    public void framesAreBounded() {
        byte[] frame = new RunnerLossFrame.Report(
                        RunnerLossFrame.Scope.RECEIVER,
                        true,
                        LongStream.range(0, RunnerLossFrame.MAX_LOSSES)
                                .mapToObj(each -> new RunnerLoss(new WorkKey(each, -each), each))
                                .toList())
                .encode();
        assertTrue(frame.length < 32_000, frame.length + " bytes");
        assertEquals(
                ((RunnerLossFrame.Report) RunnerLossFrame.decode(frame))
                        .losses()
                        .size(),
                RunnerLossFrame.MAX_LOSSES);
    }
}
