package org.parsleydrift.node.membership;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * Detects failed nodes by missing heartbeats and by probes through other watchers. A suspicion is local and has no
 * effect by itself; a node counts as failed once its journal is sealed (docs/design/membership.md). Confined to the
 * node's event loop.
 */
public final class FailureDetector {
    private static final Logger LOG = System.getLogger(FailureDetector.class.getName());
    private static final int ISOLATED_TIMEOUT_FACTOR = 3;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final EventLoop loop;
    private final NodeRecord selfRecord;
    private final String self;
    private final NodeSettings.Timings timings;
    private final Supplier<List<NodeRecord>> unsealedPeers;
    private final BiConsumer<NodeRecord, PeerMessage> send;
    private final LongSupplier generation;
    private final Consumer<NodeRecord> onFailed;
    private final Consumer<NodeRecord> onSuspect;
    private final Map<String, Long> lastHeartbeatNanos = new HashMap<>();
    private final Map<String, Long> lastProbeAnswerNanos = new HashMap<>();
    private final Map<String, Long> suspectedNanos = new HashMap<>();
    private HeartbeatRing ring;
    private Set<String> watched = Set.of();
    private long lastCheckNanos;
    private boolean stopped;

    /**
     * Creates a detector and starts its heartbeats.
     *
     * @param loop the node's event loop
     * @param selfRecord this node's record
     * @param timings heartbeat interval and timeouts
     * @param unsealedPeers supplies the other nodes whose journals are not sealed
     * @param send sends a message to a node
     * @param generation supplies the manifest generation announced in heartbeats
     * @param onFailed called with a failed node whose journal this node should seal; repeated until it is sealed
     * @param onSuspect called with a newly suspected node, so that a new connection to it is tried
     */
    public FailureDetector(
            EventLoop loop,
            NodeRecord selfRecord,
            NodeSettings.Timings timings,
            Supplier<List<NodeRecord>> unsealedPeers,
            BiConsumer<NodeRecord, PeerMessage> send,
            LongSupplier generation,
            Consumer<NodeRecord> onFailed,
            Consumer<NodeRecord> onSuspect) {
        this.loop = loop;
        this.selfRecord = selfRecord;
        this.self = selfRecord.incarnation();
        this.timings = timings;
        this.unsealedPeers = unsealedPeers;
        this.send = send;
        this.generation = generation;
        this.onFailed = onFailed;
        this.onSuspect = onSuspect;
        this.lastCheckNanos = loop.clock().nanos();
        sendHeartbeats();
        check();
    }

    /** Stops heartbeats and checks. */
    public void stop() {
        stopped = true;
    }

    /**
     * Records a message from a node. Any message counts as a heartbeat.
     *
     * @param incarnation the sender
     */
    public void recordHeartbeat(String incarnation) {
        lastHeartbeatNanos.put(incarnation, loop.clock().nanos());
        suspectedNanos.remove(incarnation);
    }

    /**
     * Records that a peer considers a node alive. Kept apart from this node's own heartbeats: otherwise two watchers
     * that probe each other would keep confirming a failed node.
     *
     * @param incarnation the node that was probed
     */
    public void recordProbeAnswer(String incarnation) {
        lastProbeAnswerNanos.put(incarnation, loop.clock().nanos());
        suspectedNanos.remove(incarnation);
    }

    /**
     * Returns whether this node itself has received a message from a node within the suspect timeout.
     *
     * @param incarnation the node
     * @return true for live nodes, for this node, and for nodes not asked about before
     */
    public boolean isAlive(String incarnation) {
        return incarnation.equals(self)
                || nanosSinceHeartbeat(incarnation) < timings.suspectTimeout().toNanos();
    }

    /**
     * Returns whether this node is a watcher of another one.
     *
     * @param incarnation the other node
     * @return true if the other node sends its heartbeats to this one
     */
    public boolean isWatching(String incarnation) {
        return watched.contains(incarnation);
    }

    private void sendHeartbeats() {
        if (stopped) {
            return;
        }
        updateRing();
        PeerMessage heartbeat = new PeerMessage.Heartbeat(generation.getAsLong());
        ring.watchers(self).forEach(record -> send.accept(record, heartbeat));
        loop.schedule(timings.heartbeatInterval(), this::sendHeartbeats);
    }

    /** Updates the neighbours. A newly watched node counts as alive: its earlier heartbeats went to other watchers. */
    private void updateRing() {
        ring = HeartbeatRing.of(selfRecord, unsealedPeers.get());
        Set<String> neighbours =
                ring.watched(self).stream().map(NodeRecord::incarnation).collect(Collectors.toSet());
        neighbours.stream().filter(node -> !watched.contains(node)).forEach(this::recordHeartbeat);
        watched = neighbours;
    }

    private void check() {
        if (stopped) {
            return;
        }
        long now = loop.clock().nanos();
        if (now - lastCheckNanos > timings.suspectTimeout().toNanos() / 2) {
            // This node was paused and received no messages. Counting the pause as missed heartbeats would seal the
            // journals of healthy nodes.
            lastHeartbeatNanos.replaceAll((peer, lastHeartbeat) -> now);
            suspectedNanos.clear();
        }
        lastCheckNanos = now;
        unsealedPeers.get().stream()
                .filter(record -> watched.contains(record.incarnation()))
                .toList()
                .forEach(this::evaluate);
        loop.schedule(CHECK_INTERVAL, this::check);
    }

    private void evaluate(NodeRecord peer) {
        long now = loop.clock().nanos();
        long probeAnsweredNanos = lastProbeAnswerNanos.getOrDefault(peer.incarnation(), Long.MIN_VALUE / 2);
        long silenceNanos = Math.min(nanosSinceHeartbeat(peer.incarnation()), now - probeAnsweredNanos);
        if (silenceNanos < timings.suspectTimeout().toNanos()) {
            return;
        }
        if (!suspectedNanos.containsKey(peer.incarnation())) {
            suspectedNanos.put(peer.incarnation(), now);
            suspect(peer, silenceNanos);
            return;
        }
        boolean isolated = unsealedPeers.get().size() > 1
                && unsealedPeers.get().stream().noneMatch(other -> isAlive(other.incarnation()));
        if (isolated && silenceNanos < timings.suspectTimeout().toNanos() * ISOLATED_TIMEOUT_FACTOR) {
            return;
        }
        long suspectedForNanos = now - suspectedNanos.get(peer.incarnation());
        if (suspectedForNanos >= timings.probeTimeout().toNanos() * (1 + rank(peer.incarnation()))) {
            suspectedNanos.put(peer.incarnation(), now);
            onFailed.accept(peer);
        }
    }

    private void suspect(NodeRecord peer, long silenceNanos) {
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("node_suspect")
                        .with("node", peer.incarnation())
                        .with("silent_ms", silenceNanos / 1_000_000)
                        .toString());
        onSuspect.accept(peer);
        ring.watchers(peer.incarnation()).stream()
                .filter(other -> !other.incarnation().equals(self))
                .forEach(other -> send.accept(other, new PeerMessage.Probe(peer.incarnation())));
    }

    /** Returns this node's position among the live watchers of a suspect. Delays by rank avoid concurrent seals. */
    private long rank(String suspect) {
        LongHashFunction hash = LongHashFunction.xx3();
        Comparator<String> order = Comparator.comparingLong(node -> hash.hashChars(node + suspect));
        return ring.watchers(suspect).stream()
                .map(NodeRecord::incarnation)
                .filter(node -> !node.equals(self) && isAlive(node) && order.compare(node, self) < 0)
                .count();
    }

    private long nanosSinceHeartbeat(String incarnation) {
        long now = loop.clock().nanos();
        return now - lastHeartbeatNanos.computeIfAbsent(incarnation, any -> now);
    }
}
