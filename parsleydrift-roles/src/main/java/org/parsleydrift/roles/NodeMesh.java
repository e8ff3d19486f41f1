package org.parsleydrift.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.relay.Dispatcher;

/**
 * What entry nodes tell each other: whether they are ready, what they have at each runner, and how new their knowledge
 * is. The platform may turn some nodes away while it serves others; a node that sees that a peer knows more asks that
 * peer for all of it, and so learns of drains and manifests in time.
 */
final class NodeMesh {
    private static final Logger LOG = System.getLogger(NodeMesh.class.getName());
    /** Period of status frames while the load changes; a burst doubles the load of a runner in about this time. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /** Status frames while nothing changes, in periods. */
    private static final int QUIET_PERIODS = 4;
    /** Of so many status frames one tells the addresses too, for peers that don't know this node yet. */
    private static final int FULL_EVERY = 8;
    /** A peer unheard for this long is not named to callers: three quiet status frames. */
    private static final Duration SILENT = Duration.ofSeconds(1);
    /** How long a peer's newer knowledge is waited for from the platform before the peer is asked. */
    private static final Duration LAG_BORNE = Duration.ofMillis(250);

    private static final byte STATUS = 11;
    private static final byte FETCH = 12;
    private static final byte OBJECTS = 13;

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final Dispatcher dispatcher;
    private final BooleanSupplier ready;
    private final BooleanSupplier reachesStores;
    private final RandomGenerator random;
    private final Map<ObjectKind, FollowedKind> followed;
    private final Map<String, Peer> peers = new HashMap<>();
    private Map<String, Integer> lastLoad = Map.of();
    private boolean lastReady;
    private int quiet;
    private int told;

    NodeMesh(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            Dispatcher dispatcher,
            BooleanSupplier ready,
            BooleanSupplier reachesStores,
            RandomGenerator random,
            Map<ObjectKind, FollowedKind> followed) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.dispatcher = dispatcher;
        this.ready = ready;
        this.reachesStores = reachesStores;
        this.random = random;
        this.followed = Map.copyOf(followed);
    }

    /** A kind of shared objects that is followed here. */
    interface FollowedKind {
        /** The revision up to which this node's knowledge is complete. */
        long asOf();

        /** The revision of the newest change that it knows. */
        long newestChange();

        List<SharedObject> present();

        /** Takes in a peer's full list. */
        void learn(ObjectChanges list, long newestChange);
    }

    private static final class Peer {
        private final NodeIdentity identity;
        private boolean ready;
        private boolean reachesStores;
        private long heardNanos;
        private boolean heard;
        private final Map<ObjectKind, Long> aheadSince = new HashMap<>();

        private Peer(NodeIdentity identity) {
            this.identity = identity;
        }
    }

    void start() {
        loop.every(STATUS_PERIOD, this::tell);
    }

    /** A peer was named by the platform, or spoke. */
    void known(NodeIdentity identity) {
        if (identity.name().equals(self.name())) {
            return;
        }
        Peer peer = peers.get(identity.name());
        if (peer == null || !peer.identity.equals(identity)) {
            peers.put(identity.name(), new Peer(identity));
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("peer_known")
                            .with("peer", identity.name())
                            .with("link", identity.link())
                            .with("zone", identity.zone())
                            .toString());
        }
    }

    /** Addresses for callers of all nodes that are ready, this one included. */
    List<String> readyAddresses() {
        Stream<NodeIdentity> others = peers.values().stream()
                .filter(each -> each.ready && alive(each))
                .map(each -> each.identity);
        Stream<NodeIdentity> own = ready.getAsBoolean() ? Stream.of(self) : Stream.empty();
        return Stream.concat(own, others)
                .sorted(Comparator.comparing(NodeIdentity::name))
                .map(NodeIdentity::callers)
                .toList();
    }

    /** A peer, drawn by lot, that reaches the store VMs. */
    Optional<String> peerThatReachesStores() {
        List<String> links = peers.values().stream()
                .filter(each -> each.reachesStores && alive(each))
                .map(each -> each.identity.link())
                .toList();
        return links.isEmpty() ? Optional.empty() : Optional.of(links.get(random.nextInt(links.size())));
    }

    boolean hearsAnyone() {
        return peers.values().stream().anyMatch(this::alive);
    }

    boolean hasKnownPeers() {
        return !peers.isEmpty();
    }

    /** Tells peers at once, outside the period. */
    void tellNow() {
        quiet = QUIET_PERIODS;
        tell();
    }

    /** Takes in a frame; gives whether it was one of the mesh. */
    boolean receive(byte[] frame) {
        return MessagePackFrames.decode(frame, in -> {
            byte type = in.unpackByte();
            switch (type) {
                case STATUS -> takeStatus(in);
                case FETCH -> answerFetch(in.unpackString(), ObjectKind.valueOf(in.unpackString()));
                case OBJECTS -> takeObjects(in);
                default -> {
                    return false;
                }
            }
            return true;
        });
    }

    private void tell() {
        forgetSilent();
        Map<String, Integer> load = dispatcher.ownLoad();
        boolean nowReady = ready.getAsBoolean();
        boolean same = load.equals(lastLoad) && nowReady == lastReady;
        if (same && ++quiet < QUIET_PERIODS) {
            return;
        }
        quiet = 0;
        lastLoad = load;
        lastReady = nowReady;
        byte[] frame = status(load, nowReady);
        peers.values().forEach(each -> frames.send(each.identity.link(), frame));
    }

    private void forgetSilent() {
        peers.values().stream().filter(each -> each.heard && !alive(each)).forEach(each -> {
            each.heard = false;
            frames.reset(each.identity.link());
            dispatcher.peerLoad(each.identity.name(), Map.of());
            logPeer("peer_silent", each.identity.name());
        });
    }

    private byte[] status(Map<String, Integer> load, boolean nowReady) {
        return MessagePackFrames.encode(out -> {
            out.packByte(STATUS);
            out.packString(self.name());
            boolean full = told++ % FULL_EVERY == 0;
            out.packBoolean(full);
            if (full) {
                out.packString(self.zone()).packString(self.callers()).packString(self.link());
            }
            out.packBoolean(nowReady).packBoolean(reachesStores.getAsBoolean());
            out.packMapHeader(followed.size());
            for (Map.Entry<ObjectKind, FollowedKind> each : followed.entrySet()) {
                out.packString(each.getKey().name()).packLong(each.getValue().newestChange());
            }
            out.packMapHeader(load.size());
            for (Map.Entry<String, Integer> each : load.entrySet()) {
                // A runner's id as a hash: two that meet would only make a runner look busier than it is.
                out.packInt(each.getKey().hashCode()).packInt(each.getValue());
            }
        });
    }

    private void takeStatus(MessageUnpacker in) throws IOException {
        String sender = in.unpackString();
        if (in.unpackBoolean()) {
            known(new NodeIdentity(sender, in.unpackString(), in.unpackString(), in.unpackString()));
        }
        Peer peer = peers.get(sender);
        if (peer == null) {
            return;
        }
        boolean nowReady = in.unpackBoolean();
        if (!peer.heard || peer.ready != nowReady) {
            logPeer(nowReady ? "peer_ready" : "peer_not_ready", sender);
        }
        peer.ready = nowReady;
        peer.reachesStores = in.unpackBoolean();
        peer.heard = true;
        peer.heardNanos = loop.clock().nanos();
        int kinds = in.unpackMapHeader();
        for (int i = 0; i < kinds; i++) {
            compare(peer, ObjectKind.valueOf(in.unpackString()), in.unpackLong());
        }
        Map<Integer, Integer> load = new HashMap<>();
        int runners = in.unpackMapHeader();
        for (int i = 0; i < runners; i++) {
            load.merge(in.unpackInt(), in.unpackInt(), Integer::sum);
        }
        dispatcher.peerLoad(sender, load);
    }

    private void compare(Peer peer, ObjectKind kind, long newestChange) {
        FollowedKind own = followed.get(kind);
        if (own == null || newestChange <= own.newestChange()) {
            peer.aheadSince.remove(kind);
            return;
        }
        long now = loop.clock().nanos();
        long since = peer.aheadSince.computeIfAbsent(kind, any -> now);
        if (now - since > LAG_BORNE.toNanos()) {
            peer.aheadSince.remove(kind);
            frames.send(
                    peer.identity.link(),
                    MessagePackFrames.encode(
                            out -> out.packByte(FETCH).packString(self.link()).packString(kind.name())));
        }
    }

    private void answerFetch(String asker, ObjectKind kind) {
        FollowedKind own = followed.get(kind);
        if (own == null || own.asOf() == 0) {
            return;
        }
        List<SharedObject> present = own.present();
        frames.send(asker, MessagePackFrames.encode(out -> {
            out.packByte(OBJECTS).packString(kind.name()).packLong(own.asOf()).packLong(own.newestChange());
            out.packArrayHeader(present.size());
            for (SharedObject each : present) {
                out.packString(each.name()).packLong(each.revision());
                out.packBinaryHeader(each.content().length).addPayload(each.content());
            }
        }));
    }

    private void takeObjects(MessageUnpacker in) throws IOException {
        ObjectKind kind = ObjectKind.valueOf(in.unpackString());
        long asOf = in.unpackLong();
        long newestChange = in.unpackLong();
        int size = in.unpackArrayHeader();
        List<SharedObject> objects = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            objects.add(new SharedObject(
                    in.unpackString(), in.unpackLong(), false, in.readPayload(in.unpackBinaryHeader())));
        }
        FollowedKind own = followed.get(kind);
        if (own != null && newestChange > own.newestChange()) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("learned_from_peer")
                            .with("kind", kind)
                            .with("own_as_of", own.asOf())
                            .with("as_of", asOf)
                            .toString());
            own.learn(new ObjectChanges(objects, asOf), newestChange);
        }
    }

    private boolean alive(Peer peer) {
        return peer.heard && loop.clock().nanos() - peer.heardNanos < SILENT.toNanos();
    }

    private static void logPeer(String event, String peer) {
        LOG.log(Logger.Level.INFO, () -> LogLine.of(event).with("peer", peer).toString());
    }
}
