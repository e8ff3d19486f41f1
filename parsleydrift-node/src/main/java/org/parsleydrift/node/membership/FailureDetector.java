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
 * Hears heartbeats, and finds nodes that nobody hears. Suspicion is local and changes nothing; only a seal does
 * (docs/design/membership.md). Confined to the node's loop.
 */
public final class FailureDetector {
    private static final Logger LOG = System.getLogger(FailureDetector.class.getName());
    private static final int ISOLATED_FACTOR = 3;
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    private final EventLoop loop;
    private final NodeRecord selfRecord;
    private final String self;
    private final NodeSettings.Timings timings;
    private final Supplier<List<NodeRecord>> unsealed;
    private final BiConsumer<NodeRecord, PeerMessage> send;
    private final LongSupplier generation;
    private final Consumer<NodeRecord> onDead;
    private final Consumer<NodeRecord> onSilent;
    private final Map<String, Long> heardNanos = new HashMap<>();
    private final Map<String, Long> vouchedNanos = new HashMap<>();
    private final Map<String, Long> suspectedNanos = new HashMap<>();
    private HeartbeatRing ring;
    private Set<String> watched = Set.of();
    private long lastCheckNanos;
    private boolean stopped;

    /**
     * Makes a detector.
     *
     * @param loop the node's loop
     * @param selfRecord this node's record
     * @param timings heartbeat period and limits
     * @param unsealed the other nodes whose journals are not sealed
     * @param send sends a message to a node
     * @param generation the manifest generation to tell in heartbeats
     * @param onDead told a node that nobody hears and whose journal this node should seal; told again until sealed
     * @param onSilent told a node that fell silent, so that a new connection is tried
     */
    public FailureDetector(
            EventLoop loop,
            NodeRecord selfRecord,
            NodeSettings.Timings timings,
            Supplier<List<NodeRecord>> unsealed,
            BiConsumer<NodeRecord, PeerMessage> send,
            LongSupplier generation,
            Consumer<NodeRecord> onDead,
            Consumer<NodeRecord> onSilent) {
        this.loop = loop;
        this.selfRecord = selfRecord;
        this.self = selfRecord.incarnation();
        this.timings = timings;
        this.unsealed = unsealed;
        this.send = send;
        this.generation = generation;
        this.onDead = onDead;
        this.onSilent = onSilent;
        this.lastCheckNanos = loop.clock().nanos();
        beat();
        check();
    }

    /** Ends the heartbeats. */
    public void stop() {
        stopped = true;
    }

    /**
     * Notes a sign of life.
     *
     * @param incarnation the node that sent something
     */
    public void heard(String incarnation) {
        heardNanos.put(incarnation, loop.clock().nanos());
        suspectedNanos.remove(incarnation);
    }

    /**
     * Notes that a peer hears a node itself. This is kept apart from what this node hears: if it counted as hearing, two
     * nodes that ask each other would keep a dead one alive between them for ever.
     *
     * @param incarnation the node that the peer hears
     */
    public void vouched(String incarnation) {
        vouchedNanos.put(incarnation, loop.clock().nanos());
        suspectedNanos.remove(incarnation);
    }

    /**
     * Whether a node was heard lately by this node itself.
     *
     * @param incarnation the node
     * @return true if it is not suspect
     */
    public boolean hears(String incarnation) {
        return incarnation.equals(self)
                || silence(incarnation) < timings.suspectTimeout().toNanos();
    }

    /**
     * Whether this node watches another.
     *
     * @param incarnation the other node
     * @return true if it gets the other one's heartbeats
     */
    public boolean watches(String incarnation) {
        return watched.contains(incarnation);
    }

    private void beat() {
        if (stopped) {
            return;
        }
        standOnRing();
        PeerMessage beat = new PeerMessage.Heartbeat(generation.getAsLong());
        ring.watchers(self).forEach(record -> send.accept(record, beat));
        loop.schedule(timings.heartbeatInterval(), this::beat);
    }

    /** Finds its neighbours. A node newly watched counts as heard now: what it sent went to others until now. */
    private void standOnRing() {
        ring = HeartbeatRing.of(selfRecord, unsealed.get());
        Set<String> now =
                ring.watched(self).stream().map(NodeRecord::incarnation).collect(Collectors.toSet());
        now.stream().filter(node -> !watched.contains(node)).forEach(this::heard);
        watched = now;
    }

    private void check() {
        if (stopped) {
            return;
        }
        long now = loop.clock().nanos();
        if (now - lastCheckNanos > timings.suspectTimeout().toNanos() / 2) {
            // This node was paused. What it did not hear meanwhile says nothing about its peers: judging them now
            // would seal the journals of a healthy fleet.
            heardNanos.replaceAll((peer, heard) -> now);
            suspectedNanos.clear();
        }
        lastCheckNanos = now;
        unsealed.get().stream()
                .filter(record -> watched.contains(record.incarnation()))
                .toList()
                .forEach(this::judge);
        loop.schedule(CHECK_PERIOD, this::check);
    }

    private void judge(NodeRecord peer) {
        long now = loop.clock().nanos();
        long vouched = vouchedNanos.getOrDefault(peer.incarnation(), Long.MIN_VALUE / 2);
        long silence = Math.min(silence(peer.incarnation()), now - vouched);
        if (silence < timings.suspectTimeout().toNanos()) {
            return;
        }
        if (!suspectedNanos.containsKey(peer.incarnation())) {
            suspectedNanos.put(peer.incarnation(), now);
            suspect(peer, silence);
            return;
        }
        boolean isolated =
                unsealed.get().size() > 1 && unsealed.get().stream().noneMatch(other -> hears(other.incarnation()));
        if (isolated && silence < timings.suspectTimeout().toNanos() * ISOLATED_FACTOR) {
            return;
        }
        long waited = now - suspectedNanos.get(peer.incarnation());
        if (waited >= timings.probeTimeout().toNanos() * (1 + rank(peer.incarnation()))) {
            suspectedNanos.put(peer.incarnation(), now);
            onDead.accept(peer);
        }
    }

    private void suspect(NodeRecord peer, long silence) {
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("node_suspect")
                        .with("node", peer.incarnation())
                        .with("silent_ms", silence / 1_000_000)
                        .toString());
        onSilent.accept(peer);
        ring.watchers(peer.incarnation()).stream()
                .filter(other -> !other.incarnation().equals(self))
                .forEach(other -> send.accept(other, new PeerMessage.Probe(peer.incarnation())));
    }

    /** Orders the nodes that could seal, so that they rarely do it at once. */
    private long rank(String suspect) {
        LongHashFunction hash = LongHashFunction.xx3();
        Comparator<String> order = Comparator.comparingLong(node -> hash.hashChars(node + suspect));
        return ring.watchers(suspect).stream()
                .map(NodeRecord::incarnation)
                .filter(node -> !node.equals(self) && hears(node) && order.compare(node, self) < 0)
                .count();
    }

    private long silence(String incarnation) {
        long now = loop.clock().nanos();
        return now - heardNanos.computeIfAbsent(incarnation, any -> now);
    }
}
