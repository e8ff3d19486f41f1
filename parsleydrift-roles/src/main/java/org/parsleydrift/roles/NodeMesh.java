package org.parsleydrift.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;

/**
 * Exchanges status between entry nodes: readiness, load at each runner, usage of quotas, and revision and staleness of
 * the shared objects. {@link MeshPlan} determines the receivers; in large fleets a {@link ZoneHub} aggregates the
 * states of its zone. A few nodes watch the platform for all, and the others get changes from them through
 * {@link ObjectSync}, as do nodes that the platform rejects.
 */
final class NodeMesh {
    private static final Logger LOG = System.getLogger(NodeMesh.class.getName());
    /** Period of status frames while the status changes. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /** Status periods per round in fleets with hubs. */
    private static final int HUB_ROUND_PERIODS = 2;
    /** Status periods between frames while the status does not change. */
    private static final int IDLE_PERIODS = 4;
    /** Rounds between frames that include the addresses of the node and that also go to nodes that have timed out. */
    private static final int FULL_STATE_ROUNDS = 8;
    /** Time without a frame after which a peer is no longer advertised to callers. */
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    /** The same in fleets with hubs, including the time for replacing a failed hub. */
    private static final Duration RELAYED_PEER_TIMEOUT = Duration.ofMillis(1600);
    /** Time without a frame after which the next node of the zone is used as hub. */
    private static final Duration HUB_TIMEOUT = Duration.ofMillis(600);
    /**
     * Staleness at which the first node checks for changes. Together with the status period, the next status frame and
     * the lag allowed before a fetch, this lets all nodes apply a change within
     * {@link org.parsleydrift.registry.StalenessTracker#MAX_STALENESS} even if every watch is dead.
     */
    private static final Duration CHECK_STALENESS = Duration.ofMillis(900);
    /**
     * Additional staleness for each further node. Exceeds the interval at which staleness is exchanged, so that usually
     * a single node checks.
     */
    private static final Duration CHECK_STEP = Duration.ofMillis(500);
    /** Maximum number of addresses that callers read. */
    private static final int MAX_ADDRESSES = 64;

    /**
     * Minimum number of nodes that watch the platform for the whole fleet; two remain while the failure of one goes
     * undetected.
     */
    private static final int MIN_WATCHING_NODES = 3;
    /** Time until a started node knows from its peers whether it has to watch; it does not watch before. */
    private static final Duration WATCH_START_DELAY = Duration.ofMillis(1200);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte STATE = 14;

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final FleetUsage fleetUsage;
    private final BooleanSupplier ready;
    private final BooleanSupplier reachesStores;
    private final ObjectSync objectSync;
    private final Consumer<Boolean> watchingListener;
    private final long startNanos;
    private final Map<String, MeshPeer> peers = new HashMap<>();
    private final ZoneSummaries zones = new ZoneSummaries();
    private final SentUsageHistory sentUsage = new SentUsageHistory();
    private final ZoneHub hub;
    private final AdvertisedNodeSelector selector = new AdvertisedNodeSelector();
    private SentStatus lastSent = new SentStatus(NodeUsage.NONE, false, Map.of());
    private boolean actsAsHub;
    private int period;
    private boolean hasRelayChanges;
    private long hubUntilNanos;
    private int idleRounds;
    private int round;

    NodeMesh(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            FleetUsage fleetUsage,
            BooleanSupplier ready,
            BooleanSupplier reachesStores,
            Map<ObjectKind, WatchedKind> watched,
            Consumer<Boolean> watchingListener) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.fleetUsage = fleetUsage;
        this.ready = ready;
        this.reachesStores = reachesStores;
        this.hub = new ZoneHub(self, frames, zones);
        this.objectSync = new ObjectSync(loop, frames, self.link(), watched);
        this.watchingListener = watchingListener;
        this.startNanos = loop.clock().nanos();
        this.hubUntilNanos = startNanos;
    }

    void start() {
        loop.scheduleWithFixedDelay(STATUS_PERIOD, this::sendPeriodically);
    }

    /** Adds a peer that was listed by the platform or introduced itself. */
    void addPeer(NodeIdentity identity) {
        if (identity.name().equals(self.name())) {
            return;
        }
        MeshPeer peer = peers.get(identity.name());
        if (peer == null || !peer.identity.equals(identity)) {
            peers.put(identity.name(), new MeshPeer(identity));
            // The load of its former incarnation no longer exists.
            fleetUsage.recordUsage(Map.of(identity.name(), NodeUsage.NONE));
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("peer_added")
                            .with("peer", identity.name())
                            .with("link", identity.link())
                            .with("zone", identity.zone())
                            .toString());
        }
    }

    /** Returns all ready nodes, including this one. */
    List<NodeIdentity> readyNodes() {
        Stream<NodeIdentity> others = peers.values().stream()
                .filter(each -> isAlive(each) && each.state().orElseThrow().ready())
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
        return peers.values().stream()
                .filter(this::isAlive)
                .map(each -> new StoreForwarderSelector.Candidate(
                        each.identity.link(), each.state().orElseThrow().reachesStores()))
                .toList();
    }

    boolean hasDirectPeers() {
        return peers.values().stream().anyMatch(each -> isDirect(each, PEER_TIMEOUT));
    }

    boolean hasKnownPeers() {
        return !peers.isEmpty();
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
                case STATE -> receiveState(in);
                case ZoneHub.ZONES -> receiveSummaries(in);
                default -> {
                    return objectSync.receive(type, in);
                }
            }
            return true;
        });
    }

    private void sendPeriodically() {
        period++;
        if (!usesHubs() || period % HUB_ROUND_PERIODS == 0) {
            sendStatus();
        }
    }

    /** Whether the fleet is too large for a full mesh. */
    private boolean usesHubs() {
        return peers.size() > MeshPlan.MAX_FULL_MESH_PEERS;
    }

    private void sendStatus() {
        dropTimedOut();
        selector.recordLoad(fleetUsage.totalRequests(), loop.clock().nanos());
        objectSync.checkIfStale(checkStaleness());
        boolean full = round % FULL_STATE_ROUNDS == 0;
        MeshPlan plan =
                MeshPlan.of(self, neighbours(), hubUntilNanos - loop.clock().nanos() > 0, full);
        updateForwarding(plan);
        setActsAsHub(!plan.allSummariesReceivers().isEmpty()
                || !plan.summaryReceivers().isEmpty());
        SentStatus status = new SentStatus(fleetUsage.ownUsage(), ready.getAsBoolean(), objectSync.latestRevisions());
        if (canSkip(status)) {
            return;
        }
        idleRounds = 0;
        round++;
        hasRelayChanges = false;
        lastSent = status;
        NodeState own = ownState(status, full);
        send(plan.stateReceivers(), own);
        if (actsAsHub) {
            hub.sendSummaries(plan, own, full, directZonePeers(), loop.clock().nanos());
        }
    }

    /** Part of the node's state whose changes are sent without delay. */
    private record SentStatus(NodeUsage usage, boolean ready, Map<ObjectKind, Long> revisions) {}

    /** Whether this round can be skipped: nothing has changed, and the idle interval has not elapsed. */
    private boolean canSkip(SentStatus status) {
        boolean same = status.equals(lastSent) && !(actsAsHub && hasRelayChanges);
        int maxIdleRounds = usesHubs() ? IDLE_PERIODS / HUB_ROUND_PERIODS : IDLE_PERIODS;
        return same && ++idleRounds < maxIdleRounds;
    }

    private void updateForwarding(MeshPlan plan) {
        boolean watches = updateWatching();
        // In a full mesh only the watching nodes forward, since the number of frames would otherwise grow with the
        // square of the nodes.
        List<NodeIdentity> all = watches ? plan.stateReceivers() : List.of();
        objectSync.setReceivers(usesHubs() ? plan.allSummariesReceivers() : all);
    }

    private void setActsAsHub(boolean acts) {
        if (acts && !actsAsHub) {
            // From now on the nodes of the zone report to this node directly.
            fleetUsage.forgetReporters(Set.of(zoneKey(self.zone())));
        }
        actsAsHub = acts;
    }

    private List<MeshPeer> directZonePeers() {
        return peers.values().stream()
                .filter(each ->
                        each.identity.zone().equals(self.zone()) && isDirect(each, PEER_TIMEOUT) && isAlive(each))
                .sorted(Comparator.comparing(MeshPeer::name))
                .toList();
    }

    /**
     * Decides whether this node watches the platform. The watching nodes are the first ones, by name, that the platform
     * answers: of each zone in fleets with hubs, otherwise of the whole fleet.
     */
    private boolean updateWatching() {
        boolean starting = loop.clock().nanos() - startNanos < WATCH_START_DELAY.toNanos();
        long preceding = peers.values().stream()
                .filter(each -> !usesHubs() || each.identity.zone().equals(self.zone()))
                .filter(each -> each.name().compareTo(self.name()) < 0
                        && isAlive(each)
                        && each.state().orElseThrow().reachesPlatform())
                .count();
        boolean watches = preceding < (usesHubs() ? watchingNodesPerZone() : MIN_WATCHING_NODES);
        objectSync.setWatching(watches && !starting);
        watchingListener.accept(watches && !starting);
        return watches && !starting;
    }

    private long watchingNodesPerZone() {
        long zoneCount = Stream.concat(
                        Stream.of(self.zone()), peers.values().stream().map(each -> each.identity.zone()))
                .distinct()
                .count();
        return (MIN_WATCHING_NODES + zoneCount - 1) / zoneCount;
    }

    /**
     * Returns the staleness at which this node checks for changes. Peers that the platform answers come before those
     * that it rejects, then the order is by name.
     */
    private Duration checkStaleness() {
        long preceding = peers.values().stream()
                .filter(each -> isAlive(each) && checksBefore(each))
                .count();
        return CHECK_STALENESS.plus(CHECK_STEP.multipliedBy(preceding));
    }

    private boolean checksBefore(MeshPeer peer) {
        boolean answered = peer.state().orElseThrow().reachesPlatform();
        return answered == objectSync.reachesPlatform() ? peer.identity.name().compareTo(self.name()) < 0 : answered;
    }

    private List<MeshPlan.Neighbour> neighbours() {
        return peers.values().stream()
                .map(each -> new MeshPlan.Neighbour(each.identity, isAlive(each), isDirect(each, HUB_TIMEOUT)))
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
            out.packByte(STATE).packBoolean(usesHubs());
            own.write(out);
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }

    private void dropTimedOut() {
        Map<String, NodeUsage> gone = new HashMap<>();
        zones.removeOlderThan(RELAYED_PEER_TIMEOUT, loop.clock().nanos())
                .forEach(each -> gone.put(zoneKey(each), NodeUsage.NONE));
        peers.values().stream()
                .filter(each -> each.state().isPresent() && !isAlive(each))
                .forEach(each -> {
                    each.clearState();
                    frames.reset(each.identity.link());
                    gone.put(each.name(), NodeUsage.NONE);
                    logPeer("peer_silent", each.name());
                });
        if (!gone.isEmpty()) {
            fleetUsage.recordUsage(gone);
        }
    }

    private void receiveState(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        if (in.unpackBoolean()) {
            hubUntilNanos = now + PEER_TIMEOUT.toNanos();
        }
        NodeState state = NodeState.read(in);
        state.identity().ifPresent(this::addPeer);
        MeshPeer peer = peers.get(state.name());
        if (peer == null) {
            return;
        }
        peer.recordContact(now);
        objectSync.compare(peer.identity.link(), true, state.freshness(), now);
        boolean changed = updatePeer(peer, state, now);
        hasRelayChanges |= changed;
        if (changed || !peer.isCountedIndividually()) {
            peer.setCountedIndividually(true);
            fleetUsage.recordUsage(Map.of(state.name(), state.usage()));
        }
    }

    private void receiveSummaries(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        Optional<MeshPeer> sender = Optional.ofNullable(peers.get(in.unpackString()));
        sender.ifPresent(each -> each.recordContact(now));
        int count = in.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            ZoneSummary summary = ZoneSummary.read(in);
            long createdNanos = now - summary.ageMillis() * NANOS_PER_MILLI;
            if (now - createdNanos <= peerTimeout().toNanos()) {
                applySummary(summary, createdNanos, sender);
            }
        }
    }

    private void applySummary(ZoneSummary summary, long createdNanos, Optional<MeshPeer> sender) {
        Optional<ZoneSummaries.Received> former = zones.of(summary.zone());
        Optional<ZoneSummaries.Received> applied = zones.apply(summary, createdNanos);
        if (applied.isEmpty()) {
            return;
        }
        applied.get().members().ifPresent(members -> members.forEach(each -> applyMember(each, createdNanos)));
        former.map(each -> each.departedBefore(applied.get())).orElse(Set.of()).forEach(this::clearDeparted);
        // A hub may report revisions of nodes of its zone that are ahead of the hub itself.
        sender.ifPresent(each -> objectSync.compare(
                each.identity.link(), each.name().equals(summary.hub()), summary.freshness(), createdNanos));
        boolean changed =
                former.filter(each -> each.summary().isEquivalent(summary)).isEmpty();
        hasRelayChanges |= changed;
        if (!summary.zone().equals(self.zone())) {
            if (changed) {
                fleetUsage.recordUsage(Map.of(zoneKey(summary.zone()), summary.usage()));
            }
        } else if (!actsAsHub) {
            applyOwnZone(applied.get());
        }
    }

    private void applyMember(ZoneSummary.Member member, long createdNanos) {
        member.identity().ifPresent(this::addPeer);
        MeshPeer peer = peers.get(member.name());
        if (peer != null) {
            updatePeer(peer, peer.relayedState(member), createdNanos);
        }
    }

    /** Clears the state of a node that its hub no longer lists. */
    private void clearDeparted(String name) {
        MeshPeer departed = peers.get(name);
        if (departed != null && departed.state().isPresent() && !isDirect(departed, PEER_TIMEOUT)) {
            departed.clearState();
            logPeer("peer_silent", name);
        }
    }

    /** Counts the sum of this node's zone in place of the usage that its nodes reported while this node was the hub. */
    private void applyOwnZone(ZoneSummaries.Received received) {
        Set<String> counted = peers.values().stream()
                .filter(each ->
                        each.isCountedIndividually() && each.identity.zone().equals(self.zone()))
                .peek(each -> each.setCountedIndividually(false))
                .map(MeshPeer::name)
                .collect(Collectors.toSet());
        if (!counted.isEmpty()) {
            fleetUsage.forgetReporters(counted);
        }
        fleetUsage.recordUsage(Map.of(zoneKey(self.zone()), sentUsage.usageOfOthers(received, self.name())));
    }

    /** Key for the usage of a zone, distinct from all node names. */
    private static String zoneKey(String zone) {
        return "zone " + zone;
    }

    private boolean updatePeer(MeshPeer peer, NodeState state, long stateNanos) {
        boolean wasReady = peer.state().filter(NodeState::ready).isPresent();
        boolean changed = peer.updateState(state, stateNanos);
        if (changed && wasReady != state.ready()) {
            logPeer(state.ready() ? "peer_ready" : "peer_not_ready", state.name());
        }
        return changed;
    }

    private Duration peerTimeout() {
        return usesHubs() ? RELAYED_PEER_TIMEOUT : PEER_TIMEOUT;
    }

    private boolean isAlive(MeshPeer peer) {
        return peer.hasStateWithin(peerTimeout(), loop.clock().nanos());
    }

    private boolean isDirect(MeshPeer peer, Duration within) {
        return peer.hasContactWithin(within, loop.clock().nanos());
    }

    private static void logPeer(String event, String peer) {
        LOG.log(Logger.Level.INFO, () -> LogLine.of(event).with("peer", peer).toString());
    }
}
