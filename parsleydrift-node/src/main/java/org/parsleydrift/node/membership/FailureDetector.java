package org.parsleydrift.node.membership;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
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
    private long lastCheckNanos;
    private boolean stopped;

    /**
     * Makes a detector.
     *
     * @param loop the node's loop
     * @param self this node's incarnation
     * @param timings heartbeat period and limits
     * @param unsealed the other nodes whose journals are not sealed
     * @param send sends a message to a node
     * @param generation the manifest generation to tell in heartbeats
     * @param onDead told a node that nobody hears and whose journal this node should seal; told again until sealed
     * @param onSilent told a node that fell silent, so that a new connection is tried
     */
    public FailureDetector(
            EventLoop loop,
            String self,
            NodeSettings.Timings timings,
            Supplier<List<NodeRecord>> unsealed,
            BiConsumer<NodeRecord, PeerMessage> send,
            LongSupplier generation,
            Consumer<NodeRecord> onDead,
            Consumer<NodeRecord> onSilent) {
        this.loop = loop;
        this.self = self;
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
                || silence(incarnation) < timings.suspectAfter().toNanos();
    }

    private void beat() {
        if (stopped) {
            return;
        }
        PeerMessage beat = new PeerMessage.Heartbeat(generation.getAsLong());
        unsealed.get().forEach(record -> send.accept(record, beat));
        loop.schedule(timings.heartbeat(), this::beat);
    }

    private void check() {
        if (stopped) {
            return;
        }
        long now = loop.clock().nanos();
        if (now - lastCheckNanos > timings.suspectAfter().toNanos() / 2) {
            // This node was paused. What it did not hear meanwhile says nothing about its peers: judging them now
            // would seal the journals of a healthy fleet.
            heardNanos.replaceAll((peer, heard) -> now);
            suspectedNanos.clear();
        }
        lastCheckNanos = now;
        new ArrayList<>(unsealed.get()).forEach(this::judge);
        loop.schedule(CHECK_PERIOD, this::check);
    }

    private void judge(NodeRecord peer) {
        long now = loop.clock().nanos();
        long vouched = vouchedNanos.getOrDefault(peer.incarnation(), Long.MIN_VALUE / 2);
        long silence = Math.min(silence(peer.incarnation()), now - vouched);
        if (silence < timings.suspectAfter().toNanos()) {
            return;
        }
        if (!suspectedNanos.containsKey(peer.incarnation())) {
            suspectedNanos.put(peer.incarnation(), now);
            suspect(peer, silence);
            return;
        }
        boolean isolated =
                unsealed.get().size() > 1 && unsealed.get().stream().noneMatch(other -> hears(other.incarnation()));
        if (isolated && silence < timings.suspectAfter().toNanos() * ISOLATED_FACTOR) {
            return;
        }
        long waited = now - suspectedNanos.get(peer.incarnation());
        if (waited >= timings.probeWait().toNanos() * (1 + rank(peer.incarnation()))) {
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
        unsealed.get().stream()
                .filter(other -> !other.incarnation().equals(peer.incarnation()))
                .forEach(other -> send.accept(other, new PeerMessage.Probe(peer.incarnation())));
    }

    /** Orders the nodes that could seal, so that they rarely do it at once. */
    private long rank(String suspect) {
        LongHashFunction hash = LongHashFunction.xx3();
        Comparator<String> order = Comparator.comparingLong(node -> hash.hashChars(node + suspect));
        return unsealed.get().stream()
                .map(NodeRecord::incarnation)
                .filter(node -> hears(node) && order.compare(node, self) < 0)
                .count();
    }

    private long silence(String incarnation) {
        long now = loop.clock().nanos();
        return now - heardNanos.computeIfAbsent(incarnation, any -> now);
    }
}
