package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.parsleydrift.kernel.LogLine;

/** The known peers of an entry node and their liveness. Confined to the event loop of the mesh. */
final class MeshPeers {
    private static final Logger LOG = System.getLogger(MeshPeers.class.getName());
    /** Time without a frame after which a peer is no longer advertised to callers: three idle status frames. */
    static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    /** The same in fleets with hubs, including the time for replacing a failed hub. */
    static final Duration RELAYED_PEER_TIMEOUT = Duration.ofMillis(1600);

    private final NodeIdentity self;
    private final FleetUsage fleetUsage;
    private final LongSupplier nanos;
    private final Map<String, MeshPeer> peers = new HashMap<>();

    private int additions;
    private Consumer<NodeIdentity> readyListener = peer -> {};

    MeshPeers(NodeIdentity self, FleetUsage fleetUsage, LongSupplier nanos) {
        this.self = self;
        this.fleetUsage = fleetUsage;
        this.nanos = nanos;
    }

    /** Sets the receiver of each peer that has become ready, or is heard again. */
    void setReadyListener(Consumer<NodeIdentity> listener) {
        readyListener = listener;
    }

    /** Adds a peer that was listed by the platform or introduced itself. */
    void add(NodeIdentity identity) {
        if (identity.name().equals(self.name())) {
            return;
        }
        MeshPeer peer = peers.get(identity.name());
        if (peer == null || !peer.identity.equals(identity)) {
            peers.put(identity.name(), new MeshPeer(identity));
            additions++;
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

    /** Returns how often a peer was added or has come back with another identity. */
    int additions() {
        return additions;
    }

    Optional<MeshPeer> find(String name) {
        return Optional.ofNullable(peers.get(name));
    }

    Stream<MeshPeer> stream() {
        return peers.values().stream();
    }

    boolean isEmpty() {
        return peers.isEmpty();
    }

    /** Whether the fleet is too large for a full mesh. */
    boolean usesHubs() {
        return peers.size() > MeshPlan.MAX_FULL_MESH_PEERS;
    }

    /** Returns the nodes of this node's zone that are heard directly, ordered by name. */
    List<MeshPeer> directZonePeers() {
        return stream()
                .filter(each ->
                        each.identity.zone().equals(self.zone()) && isDirect(each, PEER_TIMEOUT) && isAlive(each))
                .sorted(Comparator.comparing(MeshPeer::name))
                .toList();
    }

    /** Time without a state after which a peer has timed out. */
    Duration timeout() {
        return usesHubs() ? RELAYED_PEER_TIMEOUT : PEER_TIMEOUT;
    }

    boolean isAlive(MeshPeer peer) {
        return peer.hasStateWithin(timeout(), nanos.getAsLong());
    }

    /** Whether a frame was received from the peer itself within a span. */
    boolean isDirect(MeshPeer peer, Duration within) {
        return peer.hasContactWithin(within, nanos.getAsLong());
    }

    /** Updates the state of a peer if it is newer than the known one; returns whether its content changed. */
    boolean update(MeshPeer peer, NodeState state, long stateNanos) {
        boolean wasReady = peer.state().filter(NodeState::ready).isPresent();
        boolean changed = peer.updateState(state, stateNanos);
        if (changed && wasReady != state.ready()) {
            log(state.ready() ? "peer_ready" : "peer_not_ready", state.name());
            if (state.ready()) {
                readyListener.accept(peer.identity);
            }
        }
        return changed;
    }

    /** Clears the state of a peer that has timed out. */
    static void clear(MeshPeer peer) {
        peer.clearState();
        log("peer_silent", peer.name());
    }

    private static void log(String event, String peer) {
        LOG.log(Logger.Level.INFO, () -> LogLine.of(event).with("peer", peer).toString());
    }
}
