package org.parsleydrift.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObject;

/**
 * Synchronizes shared objects between entry nodes: forwards changes, compares revisions and staleness, and fetches all
 * objects of a kind from a peer that is ahead.
 */
final class ObjectSync {
    private static final Logger LOG = System.getLogger(ObjectSync.class.getName());
    /** How long to wait for changes from the platform before fetching them from a peer that is ahead. */
    private static final Duration MAX_LAG = Duration.ofMillis(250);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte FETCH = 12;
    private static final byte OBJECTS = 13;
    private static final byte CHANGES = 15;

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownLink;
    private final Map<ObjectKind, WatchedKind> watched;
    private final Map<ObjectKind, Lag> lags = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Long> forwardedRevisions = new EnumMap<>(ObjectKind.class);
    private List<NodeIdentity> receivers = List.of();

    ObjectSync(EventLoop loop, FrameSender frames, String ownLink, Map<ObjectKind, WatchedKind> watched) {
        this.loop = loop;
        this.frames = frames;
        this.ownLink = ownLink;
        this.watched = Map.copyOf(watched);
        watched.forEach((kind, each) -> each.setChangeListener(changes -> forward(kind, changes)));
        // Off until the mesh has decided which nodes watch: otherwise the number of watches at the start of a fleet
        // grows with its nodes.
        setWatching(false);
    }

    /** A peer is ahead: since when, up to which revision, and when objects were last requested. */
    private record Lag(long sinceNanos, long revision, OptionalLong requestNanos) {}

    Map<ObjectKind, NodeState.Freshness> freshness() {
        return watched.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, each -> freshness(each.getValue())));
    }

    Map<ObjectKind, Long> latestRevisions() {
        return NodeState.latestRevisions(freshness());
    }

    private static NodeState.Freshness freshness(WatchedKind kind) {
        return new NodeState.Freshness(
                kind.latestRevision(),
                kind.ownStaleness().stream().mapToLong(Duration::toMillis).findAny());
    }

    /** Whether the platform has answered the latest request of every kind. */
    boolean reachesPlatform() {
        return watched.values().stream().allMatch(WatchedKind::isPlatformReachable);
    }

    /** Enables or disables watching the platform. */
    void setWatching(boolean enabled) {
        watched.values().forEach(each -> each.setWatching(enabled));
    }

    /** Sets the nodes to which changes are forwarded: the nodes of the zone if this node is their hub. */
    void setReceivers(List<NodeIdentity> nodes) {
        receivers = nodes;
    }

    /**
     * Checks each kind whose staleness has reached a limit. The store set is exempt: store VMs answer requests that
     * carry an older epoch with the current set.
     */
    void checkIfStale(Duration maxStaleness) {
        watched.entrySet().stream()
                .filter(each -> each.getKey() != ObjectKind.STORE_SET)
                .forEach(each -> each.getValue().checkIfStale(maxStaleness));
    }

    /**
     * Compares the copies of a peer with those of this node, and schedules a fetch if the peer is ahead.
     *
     * @param peer link address of the peer
     * @param direct whether this node receives frames from the peer itself; a peer known only through others may be
     *     unreachable
     * @param freshness revision and staleness of the peer's copies, by kind
     * @param sentNanos time at which the peer sent them, ns
     */
    void compare(String peer, boolean direct, Map<ObjectKind, NodeState.Freshness> freshness, long sentNanos) {
        Duration maxLag = direct ? MAX_LAG : MAX_LAG.multipliedBy(2);
        freshness.forEach((kind, theirs) -> {
            WatchedKind own = watched.get(kind);
            if (own != null && theirs.latestRevision() > own.latestRevision()) {
                recordLag(peer, maxLag, kind, theirs.latestRevision());
            } else if (own != null) {
                theirs.stalenessMillis().ifPresent(age -> own.recordCompleteAt(sentNanos - age * NANOS_PER_MILLI));
            }
        });
    }

    private void recordLag(String peer, Duration maxLag, ObjectKind kind, long revision) {
        Lag lag = lags.get(kind);
        if (lag == null || lag.revision() <= watched.get(kind).latestRevision()) {
            lags.put(kind, new Lag(loop.clock().nanos(), revision, OptionalLong.empty()));
            loop.schedule(maxLag, () -> fetchIfBehind(peer, maxLag, kind));
        } else {
            fetchIfBehind(peer, maxLag, kind);
        }
    }

    private void fetchIfBehind(String peer, Duration maxLag, ObjectKind kind) {
        long now = loop.clock().nanos();
        Lag lag = lags.get(kind);
        if (lag.revision() <= watched.get(kind).latestRevision()) {
            return;
        }
        long elapsedNanos = now - lag.requestNanos().orElse(lag.sinceNanos());
        if (elapsedNanos >= maxLag.toNanos()) {
            lags.put(kind, new Lag(lag.sinceNanos(), lag.revision(), OptionalLong.of(now)));
            frames.send(
                    peer,
                    MessagePackFrames.encode(
                            out -> out.packByte(FETCH).packString(ownLink).packString(kind.name())));
        }
    }

    private void forward(ObjectKind kind, List<SharedObject> changes) {
        WatchedKind own = watched.get(kind);
        long since = forwardedRevisions.getOrDefault(kind, 0L);
        forwardedRevisions.put(kind, own.latestRevision());
        if (!receivers.isEmpty() && !changes.isEmpty() && since > 0) {
            byte[] frame = MessagePackFrames.encode(out -> {
                out.packByte(CHANGES).packString(ownLink).packLong(since);
                writeObjects(out, kind, own, changes);
            });
            receivers.forEach(each -> frames.send(each.link(), frame));
        }
    }

    private void receiveChanges(MessageUnpacker in) throws IOException {
        String peer = in.unpackString();
        long since = in.unpackLong();
        ObjectsMessage received = ObjectsMessage.read(in);
        WatchedKind own = watched.get(received.kind());
        if (own == null || received.latestRevision() <= own.latestRevision()) {
            return;
        }
        if (own.latestRevision() < since) {
            // Changes in between are missing: a frame was lost, or this node has just started.
            recordLag(peer, Duration.ZERO, received.kind(), received.latestRevision());
            return;
        }
        logReceived("changes_from_peer", own, received);
        own.applyChanges(received.changes(), received.latestRevision(), completeNanos(received));
    }

    /** Handles the rest of a frame; returns false if its type is not handled here. */
    boolean receive(byte type, MessageUnpacker in) throws IOException {
        switch (type) {
            case FETCH -> sendObjects(in.unpackString(), ObjectKind.valueOf(in.unpackString()));
            case OBJECTS -> receiveObjects(in);
            case CHANGES -> receiveChanges(in);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void sendObjects(String requester, ObjectKind kind) {
        WatchedKind own = watched.get(kind);
        if (own == null || own.asOf() == 0) {
            return;
        }
        frames.send(requester, MessagePackFrames.encode(out -> {
            out.packByte(OBJECTS);
            writeObjects(out, kind, own, own.present());
        }));
    }

    private static void writeObjects(MessagePacker out, ObjectKind kind, WatchedKind own, List<SharedObject> objects)
            throws IOException {
        new ObjectsMessage(
                        kind,
                        new ObjectChanges(objects, own.asOf()),
                        own.latestRevision(),
                        own.staleness().toMillis())
                .write(out);
    }

    private void receiveObjects(MessageUnpacker in) throws IOException {
        ObjectsMessage received = ObjectsMessage.read(in);
        WatchedKind own = watched.get(received.kind());
        if (own != null && received.latestRevision() > own.latestRevision()) {
            logReceived("objects_from_peer", own, received);
            own.applyList(received.changes(), received.latestRevision(), completeNanos(received));
        }
    }

    private long completeNanos(ObjectsMessage received) {
        return loop.clock().nanos() - received.stalenessMillis() * NANOS_PER_MILLI;
    }

    private static void logReceived(String event, WatchedKind own, ObjectsMessage received) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of(event)
                        .with("kind", received.kind())
                        .with("own_as_of", own.asOf())
                        .with("as_of", received.changes().asOf())
                        .with("changes", received.changes().objects().size())
                        .with("staleness_ms", received.stalenessMillis())
                        .toString());
    }
}
