package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;

/**
 * Exchanges status between entry nodes: readiness, load at each runner, usage of quotas, and revision and staleness of
 * the shared objects. {@link MeshPlan} determines the receivers; in large fleets a {@link ZoneHub} aggregates the
 * states of its zone. A few nodes watch the platform for all, and the others get changes from them through
 * {@link ObjectSync}, as do nodes that the platform rejects.
 */
final class NodeMesh {
    /** Period of status frames while the status changes; a burst doubles the load of a runner in about this time. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /** Status periods per round in fleets with hubs. */
    private static final int HUB_ROUND_PERIODS = 2;
    /** Status periods between frames while the status does not change. */
    private static final int IDLE_PERIODS = 4;
    /** Rounds between frames that include the addresses of the node and that also go to nodes that have timed out. */
    private static final int FULL_STATE_ROUNDS = 8;
    /** Time without a frame after which the next node of the zone is used as hub; a hub sends every 160 to 320 ms. */
    private static final Duration HUB_TIMEOUT = Duration.ofMillis(600);
    /** Maximum number of addresses that callers read. */
    private static final int MAX_ADDRESSES = 64;

    private static final byte STATE = 14;

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final FleetUsage fleetUsage;
    private final BooleanSupplier ready;
    private final BooleanSupplier reachesStores;
    private final ObjectSync objectSync;
    private final MeshPeers peers;
    private final StatusReceiver receiver;
    private final PlatformChecks platformChecks;
    private final SentUsageHistory sentUsage = new SentUsageHistory();
    private final ZoneHub hub;
    private final AdvertisedNodeSelector selector = new AdvertisedNodeSelector();
    private SentStatus lastSent = new SentStatus(NodeUsage.NONE, false, Map.of());
    private MeshPlan plan = MeshPlan.EMPTY;
    private int plannedAdditions;
    private int introducedAdditions;
    private int period;
    private int idleRounds;
    private int round;

    NodeMesh(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            FleetUsage fleetUsage,
            BooleanSupplier ready,
            BooleanSupplier reachesStores,
            RandomGenerator random,
            Map<ObjectKind, WatchedKind> watched,
            Consumer<Boolean> watchingListener) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.fleetUsage = fleetUsage;
        this.ready = ready;
        this.reachesStores = reachesStores;
        this.objectSync = new ObjectSync(loop, frames, self.link(), watched);
        this.peers = new MeshPeers(self, fleetUsage, loop.clock()::nanos);
        ZoneSummaries zones = new ZoneSummaries();
        this.hub = new ZoneHub(self, frames, zones);
        this.receiver = new StatusReceiver(loop, self, peers, zones, sentUsage, fleetUsage, objectSync);
        this.platformChecks =
                new PlatformChecks(self, peers, objectSync, watchingListener, random, loop.clock()::nanos);
    }

    /** Sets the receiver of each peer that has become ready, or is heard again. */
    void setPeerReadyListener(Consumer<NodeIdentity> listener) {
        peers.setReadyListener(listener);
    }

    void start() {
        loop.scheduleWithFixedDelay(STATUS_PERIOD, this::sendPeriodically);
    }

    /** Adds a peer that was listed by the platform or introduced itself. */
    void addPeer(NodeIdentity identity) {
        peers.add(identity);
    }

    /** Returns all known peers, whether they are heard or not. */
    List<NodeIdentity> knownPeers() {
        return peers.stream().map(each -> each.identity).toList();
    }

    /** Returns all ready nodes, including this one. */
    List<NodeIdentity> readyNodes() {
        Stream<NodeIdentity> others = peers.stream()
                .filter(each ->
                        peers.isAlive(each) && each.state().orElseThrow().ready())
                .map(each -> each.identity);
        Stream<NodeIdentity> own = ready.getAsBoolean() ? Stream.of(self) : Stream.empty();
        return Stream.concat(own, others).toList();
    }

    /** Returns the addresses to advertise to callers, those of this node's zone first. */
    List<String> readyAddresses() {
        return selector.select(readyNodes()).stream()
                .sorted(Comparator.comparing((NodeIdentity each) -> !each.zone().equals(self.zone()))
                        .thenComparing(NodeIdentity::name))
                .limit(MAX_ADDRESSES)
                .map(NodeIdentity::callers)
                .toList();
    }

    /** Returns all live peers, heard directly or through hubs, with their reports of reaching the store VMs. */
    List<StoreForwarderSelector.Candidate> storeForwarders() {
        return peers.stream()
                .filter(peers::isAlive)
                .map(each -> new StoreForwarderSelector.Candidate(
                        each.identity.link(), each.state().orElseThrow().reachesStores()))
                .toList();
    }

    boolean hasDirectPeers() {
        return peers.stream().anyMatch(each -> peers.isDirect(each, MeshPeers.PEER_TIMEOUT));
    }

    boolean hasKnownPeers() {
        return !peers.isEmpty();
    }

    /** Returns the receivers of the latest round, or those of the next one if peers were added since. */
    MeshPlan plan() {
        if (plannedAdditions != peers.additions()) {
            updatePlan(true);
        }
        return plan;
    }

    private void updatePlan(boolean probing) {
        plan = MeshPlan.of(self, neighbours(), receiver.isTreatedAsHub(), probing);
        plannedAdditions = peers.additions();
    }

    /** Sends a status frame immediately, outside the period. */
    void sendNow() {
        idleRounds = IDLE_PERIODS;
        sendStatus();
    }

    /** Handles a frame; returns false if its type is not one of the mesh. */
    boolean receive(byte[] frame) {
        return MessagePackFrames.decode(frame, in -> {
            byte type = in.unpackByte();
            switch (type) {
                case STATE -> receiver.receiveState(in);
                case ZoneHub.ZONES -> receiver.receiveSummaries(in);
                default -> {
                    return objectSync.receive(type, in);
                }
            }
            return true;
        });
    }

    private void sendPeriodically() {
        period++;
        if (!peers.usesHubs() || period % HUB_ROUND_PERIODS == 0) {
            sendStatus();
        }
    }

    /** Whether the fleet is too large for a full mesh. */
    boolean usesHubs() {
        return peers.usesHubs();
    }

    private void sendStatus() {
        receiver.dropTimedOut().forEach(each -> frames.reset(each.identity.link()));
        selector.recordLoad(fleetUsage.totalRequests(), loop.clock().nanos());
        platformChecks.checkIfStale();
        boolean introducing = introducedAdditions != peers.additions();
        boolean full = introducing || round % FULL_STATE_ROUNDS == 0;
        updatePlan(full);
        updateForwarding();
        receiver.setActsAsHub(plan.isHub());
        SentStatus status = new SentStatus(fleetUsage.ownUsage(), ready.getAsBoolean(), objectSync.latestRevisions());
        if (!introducing && canSkip(status)) {
            return;
        }
        introducedAdditions = peers.additions();
        idleRounds = 0;
        round++;
        receiver.clearRelayChanges();
        lastSent = status;
        NodeState own = ownState(status, full);
        send(plan.stateReceivers(), own);
        if (plan.isHub()) {
            hub.sendSummaries(
                    plan, own, full, peers.directZonePeers(), loop.clock().nanos());
        }
    }

    /** Part of the node's state whose changes are sent without delay. */
    private record SentStatus(NodeUsage usage, boolean ready, Map<ObjectKind, Long> revisions) {
        boolean isEquivalent(SentStatus other) {
            return ready == other.ready && revisions.equals(other.revisions) && usage.isEquivalent(other.usage);
        }
    }

    /** Whether this round can be skipped: nothing has changed, and the idle interval has not elapsed. */
    private boolean canSkip(SentStatus status) {
        boolean same = status.isEquivalent(lastSent) && !(plan.isHub() && receiver.hasRelayChanges());
        int maxIdleRounds = peers.usesHubs() ? IDLE_PERIODS / HUB_ROUND_PERIODS : IDLE_PERIODS;
        return same && ++idleRounds < maxIdleRounds;
    }

    private void updateForwarding() {
        boolean watches = platformChecks.updateWatching();
        // In a full mesh only the watching nodes forward, since the number of frames would otherwise grow with the
        // square of the nodes.
        List<NodeIdentity> all = watches ? plan.stateReceivers() : List.of();
        objectSync.setReceivers(peers.usesHubs() ? plan.allSummariesReceivers() : all);
    }

    private List<MeshPlan.Neighbour> neighbours() {
        return peers.stream()
                .map(each ->
                        new MeshPlan.Neighbour(each.identity, peers.isAlive(each), peers.isDirect(each, HUB_TIMEOUT)))
                .toList();
    }

    private NodeState ownState(SentStatus status, boolean full) {
        sentUsage.add(round, status.usage());
        Optional<NodeIdentity> identity = full ? Optional.of(self) : Optional.empty();
        return new NodeState(
                self.name(),
                identity,
                round,
                status.ready(),
                reachesStores.getAsBoolean(),
                objectSync.reachesPlatform(),
                objectSync.freshness(),
                status.usage());
    }

    private void send(List<NodeIdentity> receivers, NodeState own) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packByte(STATE).packBoolean(peers.usesHubs());
            own.write(out);
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }
}
