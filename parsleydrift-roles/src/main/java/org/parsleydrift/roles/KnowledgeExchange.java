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
 * What entry nodes tell each other of the shared objects that they follow: changes as soon as they are known, how new and
 * how old their knowledge is, and, to a node that asks because it knows less, all of it.
 */
final class KnowledgeExchange {
    private static final Logger LOG = System.getLogger(KnowledgeExchange.class.getName());
    /** How long a peer's newer knowledge is waited for from the platform before the peer is asked. */
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
        // Until it is told otherwise: a fleet that starts would ask as often as it has nodes.
        follow(false);
    }

    /** That some peer knows more of a kind: since when, up to which revision, and when one was asked last. */
    private record Behind(long sinceNanos, long revision, OptionalLong askedNanos) {}

    /** What this node knows, by kind. */
    Map<ObjectKind, NodeState.Known> known() {
        return followed.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, each -> known(each.getValue())));
    }

    /** The revision of the newest change that this node knows, by kind. */
    Map<ObjectKind, Long> newestChanges() {
        return NodeState.newestChanges(known());
    }

    private static NodeState.Known known(FollowedKind kind) {
        return new NodeState.Known(
                kind.newestChange(),
                kind.answeredAge().stream().mapToLong(Duration::toMillis).findAny());
    }

    /** Whether the platform answers this node. */
    boolean reachesPlatform() {
        return followed.values().stream().allMatch(FollowedKind::answered);
    }

    /** Has this node watch the platform, or leaves that to peers. */
    void follow(boolean watches) {
        followed.values().forEach(each -> each.follow(watches));
    }

    /** Says whom news are passed on to at once: the nodes of its zone, if this one is their hub. */
    void passOnTo(List<NodeIdentity> nodes) {
        receivers = nodes;
    }

    /**
     * Has each kind checked whose knowledge is as old as this. The set of store VMs is not: those that are asked at an
     * earlier epoch answer with the newer set.
     */
    void lookAtAge(Duration checkAfter) {
        followed.entrySet().stream()
                .filter(each -> each.getKey() != ObjectKind.STORE_SET)
                .forEach(each -> each.getValue().lookAtAge(checkAfter));
    }

    /**
     * Compares what a peer knows with what this node knows.
     *
     * @param peer the peer's link
     * @param direct whether this node hears the peer itself; one that is known through others may be out of reach
     * @param told what the peer knows
     * @param saidNanos when it said so
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
            // Changes are missing between: a frame was lost, or this node has just started.
            peerKnowsMore(peer, Duration.ZERO, told.kind(), told.newestChange());
            return;
        }
        logLearned("changes_from_peer", own, told);
        own.learnChanges(told.changes(), told.newestChange(), completeNanos(told));
    }

    /** Takes in the rest of a frame; gives whether its type is one of these. */
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
            logLearned("learned_from_peer", own, told);
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
                        .with("known_ms_ago", told.ageMillis())
                        .toString());
    }
}
