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
final class KnowledgeExchange {
    private static final Logger LOG = System.getLogger(KnowledgeExchange.class.getName());
    /** How long to wait for changes from the platform before fetching them from a peer that is ahead. */
    private static final Duration LAG_BORNE = Duration.ofMillis(250);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte FETCH = 12;
    private static final byte OBJECTS = 13;
    private static final byte CHANGES = 15;

    private final EventLoop loop;
    private final FrameSender frames;
    private final String ownLink;
    private final Map<ObjectKind, FollowedKind> followed;
    private final Map<ObjectKind, Behind> behind = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Long> passedOn = new EnumMap<>(ObjectKind.class);
    private List<NodeIdentity> receivers = List.of();

    KnowledgeExchange(EventLoop loop, FrameSender frames, String ownLink, Map<ObjectKind, FollowedKind> followed) {
        this.loop = loop;
        this.frames = frames;
        this.ownLink = ownLink;
        this.followed = Map.copyOf(followed);
        followed.forEach((kind, each) -> each.onNews(news -> passOn(kind, news)));
        // Off until the mesh has decided which nodes watch: otherwise the number of watches at the start of a fleet
        // grows with its nodes.
        follow(false);
    }

    /** A peer is ahead: since when, up to which revision, and when objects were last requested. */
    private record Behind(long sinceNanos, long revision, OptionalLong askedNanos) {}

    Map<ObjectKind, NodeState.Known> known() {
        return followed.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, each -> known(each.getValue())));
    }

    Map<ObjectKind, Long> newestChanges() {
        return NodeState.newestChanges(known());
    }

    private static NodeState.Known known(FollowedKind kind) {
        return new NodeState.Known(
                kind.newestChange(),
                kind.answeredAge().stream().mapToLong(Duration::toMillis).findAny());
    }

    /** Whether the platform has answered the latest request of every kind. */
    boolean reachesPlatform() {
        return followed.values().stream().allMatch(FollowedKind::answered);
    }

    /** Enables or disables watching the platform. */
    void follow(boolean watches) {
        followed.values().forEach(each -> each.follow(watches));
    }

    /** Sets the nodes to which changes are forwarded: the nodes of the zone if this node is their hub. */
    void passOnTo(List<NodeIdentity> nodes) {
        receivers = nodes;
    }

    /**
     * Checks each kind whose staleness has reached a limit. The store set is exempt: store VMs answer requests that
     * carry an older epoch with the current set.
     */
    void lookAtAge(Duration checkAfter) {
        followed.entrySet().stream()
                .filter(each -> each.getKey() != ObjectKind.STORE_SET)
                .forEach(each -> each.getValue().lookAtAge(checkAfter));
    }

    /**
     * Compares the copies of a peer with those of this node, and schedules a fetch if the peer is ahead.
     *
     * @param peer link address of the peer
     * @param direct whether this node receives frames from the peer itself; a peer known only through others may be
     *     unreachable
     * @param told revision and staleness of the peer's copies, by kind
     * @param saidNanos time at which the peer sent them, ns
     */
    void compare(String peer, boolean direct, Map<ObjectKind, NodeState.Known> told, long saidNanos) {
        Duration patience = direct ? LAG_BORNE : LAG_BORNE.multipliedBy(2);
        told.forEach((kind, known) -> {
            FollowedKind own = followed.get(kind);
            if (own != null && known.newestChange() > own.newestChange()) {
                peerKnowsMore(peer, patience, kind, known.newestChange());
            } else if (own != null) {
                known.answeredMillis().ifPresent(age -> own.completeAt(saidNanos - age * NANOS_PER_MILLI));
            }
        });
    }

    private void peerKnowsMore(String peer, Duration patience, ObjectKind kind, long revision) {
        Behind known = behind.get(kind);
        if (known == null || known.revision() <= followed.get(kind).newestChange()) {
            behind.put(kind, new Behind(loop.clock().nanos(), revision, OptionalLong.empty()));
            loop.schedule(patience, () -> askIfBehind(peer, patience, kind));
        } else {
            askIfBehind(peer, patience, kind);
        }
    }

    private void askIfBehind(String peer, Duration patience, ObjectKind kind) {
        long now = loop.clock().nanos();
        Behind known = behind.get(kind);
        if (known.revision() <= followed.get(kind).newestChange()) {
            return;
        }
        long waited = now - known.askedNanos().orElse(known.sinceNanos());
        if (waited >= patience.toNanos()) {
            behind.put(kind, new Behind(known.sinceNanos(), known.revision(), OptionalLong.of(now)));
            frames.send(
                    peer,
                    MessagePackFrames.encode(
                            out -> out.packByte(FETCH).packString(ownLink).packString(kind.name())));
        }
    }

    private void passOn(ObjectKind kind, List<SharedObject> news) {
        FollowedKind own = followed.get(kind);
        long since = passedOn.getOrDefault(kind, 0L);
        passedOn.put(kind, own.newestChange());
        if (!receivers.isEmpty() && !news.isEmpty() && since > 0) {
            byte[] frame = MessagePackFrames.encode(out -> {
                out.packByte(CHANGES).packString(ownLink).packLong(since);
                writeObjects(out, kind, own, news);
            });
            receivers.forEach(each -> frames.send(each.link(), frame));
        }
    }

    private void takeChanges(MessageUnpacker in) throws IOException {
        String peer = in.unpackString();
        long since = in.unpackLong();
        ToldObjects told = ToldObjects.read(in);
        FollowedKind own = followed.get(told.kind());
        if (own == null || told.newestChange() <= own.newestChange()) {
            return;
        }
        if (own.newestChange() < since) {
            // Changes in between are missing: a frame was lost, or this node has just started.
            peerKnowsMore(peer, Duration.ZERO, told.kind(), told.newestChange());
            return;
        }
        logLearned("changes_from_peer", own, told);
        own.learnChanges(told.changes(), told.newestChange(), completeNanos(told));
    }

    /** Handles the rest of a frame; returns false if its type is not handled here. */
    boolean receive(byte type, MessageUnpacker in) throws IOException {
        switch (type) {
            case FETCH -> answerFetch(in.unpackString(), ObjectKind.valueOf(in.unpackString()));
            case OBJECTS -> takeObjects(in);
            case CHANGES -> takeChanges(in);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void answerFetch(String asker, ObjectKind kind) {
        FollowedKind own = followed.get(kind);
        if (own == null || own.asOf() == 0) {
            return;
        }
        frames.send(asker, MessagePackFrames.encode(out -> {
            out.packByte(OBJECTS);
            writeObjects(out, kind, own, own.present());
        }));
    }

    private static void writeObjects(MessagePacker out, ObjectKind kind, FollowedKind own, List<SharedObject> objects)
            throws IOException {
        new ToldObjects(
                        kind,
                        new ObjectChanges(objects, own.asOf()),
                        own.newestChange(),
                        own.age().toMillis())
                .write(out);
    }

    private void takeObjects(MessageUnpacker in) throws IOException {
        ToldObjects told = ToldObjects.read(in);
        FollowedKind own = followed.get(told.kind());
        if (own != null && told.newestChange() > own.newestChange()) {
            logLearned("objects_from_peer", own, told);
            own.learn(told.changes(), told.newestChange(), completeNanos(told));
        }
    }

    private long completeNanos(ToldObjects told) {
        return loop.clock().nanos() - told.ageMillis() * NANOS_PER_MILLI;
    }

    private static void logLearned(String event, FollowedKind own, ToldObjects told) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of(event)
                        .with("kind", told.kind())
                        .with("own_as_of", own.asOf())
                        .with("as_of", told.changes().asOf())
                        .with("changes", told.changes().objects().size())
                        .with("staleness_ms", told.ageMillis())
                        .toString());
    }
}
