package org.parsleydrift.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.relay.Dispatcher;

/**
 * What entry nodes tell each other: whether they are ready, what they have at each runner, and how new their knowledge
 * is. The platform may turn some nodes away while it serves others; a node that sees that a peer knows more asks that
 * peer for all of it, and so learns of drains and manifests in time ({@link KnowledgeExchange}). Whom a node tells what is
 * the {@link MeshPlan}'s.
 */
final class NodeMesh {
    private static final Logger LOG = System.getLogger(NodeMesh.class.getName());
    /** Period of status frames while the load changes; a burst doubles the load of a runner in about this time. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /** Status frames while nothing changes, in periods. */
    private static final int QUIET_PERIODS = 4;
    /** Of so many rounds one tells the addresses too, for peers that don't know a node yet, and tries silent nodes. */
    private static final int FULL_EVERY = 8;
    /** A peer unheard for this long is not named to callers: three quiet status frames. */
    private static final Duration SILENT = Duration.ofSeconds(1);
    /** The same where hubs pass states on: the wait for a silent hub's successor comes on top. */
    private static final Duration SILENT_RELAYED = Duration.ofMillis(1600);
    /** A hub unheard for this long is passed over: it speaks every 80 to 320 ms. */
    private static final Duration HUB_SILENT = Duration.ofMillis(600);
    /**
     * Knowledge of this age is checked at the platform by the first node. With the period in which it is looked at (80 ms),
     * the next status frame (320 ms) and the lag borne (250 ms) all know a change 1.6 s after it, by way of hubs 1.9 s,
     * though every watch be silent; they have two seconds.
     */
    private static final Duration CHECK_AGE = Duration.ofMillis(900);
    /**
     * By so much longer the next one waits: status frames with the age of the knowledge come every 320 ms, or twice that
     * by way of hubs, so that usually one node checks for all.
     */
    private static final Duration CHECK_STEP = Duration.ofMillis(500);
    /** Addresses that callers are given at most; they read no more. */
    private static final int MOST_ADDRESSES = 64;

    /**
     * Nodes of a zone that watch the platform for all of it; the second goes on while the first one's end is not noticed.
     * Where each node of a large fleet watches, each change costs a call a node.
     */
    private static final int WATCHING_PER_ZONE = 2;
    /** A node that starts is told by then who watches; until then it doesn't, so that a fleet that starts asks less. */
    private static final Duration WATCH_DECIDED = Duration.ofMillis(1200);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte STATES = 14;

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final Dispatcher dispatcher;
    private final BooleanSupplier ready;
    private final BooleanSupplier reachesStores;
    private final RandomGenerator random;
    private final KnowledgeExchange exchange;
    private final Consumer<Boolean> watching;
    private final long startNanos;
    private final Map<String, Peer> peers = new HashMap<>();
    private Map<String, Integer> lastLoad = Map.of();
    private boolean lastReady;
    private boolean news;
    private long hubUntilNanos;
    private int quiet;
    private int round;

    NodeMesh(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            Dispatcher dispatcher,
            BooleanSupplier ready,
            BooleanSupplier reachesStores,
            RandomGenerator random,
            Map<ObjectKind, FollowedKind> followed,
            Consumer<Boolean> watching) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.dispatcher = dispatcher;
        this.ready = ready;
        this.reachesStores = reachesStores;
        this.random = random;
        this.exchange = new KnowledgeExchange(loop, frames, self.link(), followed);
        this.watching = watching;
        this.startNanos = loop.clock().nanos();
        this.hubUntilNanos = startNanos;
    }

    private static final class Peer {
        private final NodeIdentity identity;
        private Optional<NodeState> state = Optional.empty();
        private long saidNanos;
        private OptionalLong directNanos = OptionalLong.empty();

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
            // What its former life had at the runners is gone with it.
            dispatcher.peerLoads(Map.of(identity.name(), Map.of()));
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
                .filter(each -> alive(each) && each.state.orElseThrow().ready())
                .map(each -> each.identity);
        Stream<NodeIdentity> own = ready.getAsBoolean() ? Stream.of(self) : Stream.empty();
        return Stream.concat(own, others)
                .sorted(Comparator.comparing((NodeIdentity each) -> !each.zone().equals(self.zone()))
                        .thenComparing(NodeIdentity::name))
                .limit(MOST_ADDRESSES)
                .map(NodeIdentity::callers)
                .toList();
    }

    /** A peer, drawn by lot, that reaches the store VMs; first among those that this node hears itself. */
    Optional<String> peerThatReachesStores() {
        List<Peer> reaching = peers.values().stream()
                .filter(each -> alive(each) && each.state.orElseThrow().reachesStores())
                .toList();
        List<Peer> near = reaching.stream().filter(each -> direct(each, SILENT)).toList();
        List<Peer> drawn = near.isEmpty() ? reaching : near;
        return drawn.isEmpty()
                ? Optional.empty()
                : Optional.of(drawn.get(random.nextInt(drawn.size())).identity.link());
    }

    boolean hearsAnyone() {
        return peers.values().stream().anyMatch(each -> direct(each, SILENT));
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
                case STATES -> takeStates(in);
                default -> {
                    return exchange.receive(type, in);
                }
            }
            return true;
        });
    }

    private void tell() {
        forgetSilent();
        exchange.lookAtAge(checkAfter());
        Map<String, Integer> load = dispatcher.ownLoad();
        boolean nowReady = ready.getAsBoolean();
        boolean full = round % FULL_EVERY == 0;
        MeshPlan plan =
                MeshPlan.of(self, neighbours(), hubUntilNanos - loop.clock().nanos() > 0, full);
        decideWatching();
        exchange.passOnTo(plan.all());
        boolean relays = !plan.all().isEmpty() || !plan.zone().isEmpty();
        boolean same = load.equals(lastLoad) && nowReady == lastReady && !(relays && news);
        if (same && ++quiet < QUIET_PERIODS) {
            return;
        }
        quiet = 0;
        round++;
        news = false;
        lastLoad = load;
        lastReady = nowReady;
        NodeState own = ownState(load, nowReady, full);
        send(plan.own(), peers.size() > MeshPlan.DIRECT_PEERS, Stream.of(own));
        if (relays) {
            send(plan.zone(), false, Stream.concat(Stream.of(own), states(this::ofOwnZone, full)));
            send(plan.all(), false, Stream.concat(Stream.of(own), states(each -> true, full)));
        }
    }

    /** Few nodes watch by themselves; of many, the first ones of each zone that the platform answers do so for the rest. */
    private void decideWatching() {
        boolean few = peers.size() <= MeshPlan.DIRECT_PEERS;
        boolean early = loop.clock().nanos() - startNanos < WATCH_DECIDED.toNanos();
        long before = peers.values().stream()
                .filter(each -> each.identity.zone().equals(self.zone())
                        && each.identity.name().compareTo(self.name()) < 0
                        && alive(each)
                        && each.state.orElseThrow().reachesPlatform())
                .count();
        boolean watches = before < WATCHING_PER_ZONE;
        exchange.follow(few || (watches && !early));
        watching.accept(watches && !early);
    }

    /**
     * The age of its knowledge at which this node is to check it. Peers that the platform answers check first, since those
     * that it turns away would leave the knowledge to grow old; among equals the one with the least name.
     */
    private Duration checkAfter() {
        long before = peers.values().stream()
                .filter(each -> alive(each) && checksBefore(each))
                .count();
        return CHECK_AGE.plus(CHECK_STEP.multipliedBy(before));
    }

    private boolean checksBefore(Peer peer) {
        boolean answered = peer.state.orElseThrow().reachesPlatform();
        return answered == exchange.reachesPlatform() ? peer.identity.name().compareTo(self.name()) < 0 : answered;
    }

    private List<MeshPlan.Neighbour> neighbours() {
        return peers.values().stream()
                .map(each -> new MeshPlan.Neighbour(each.identity, alive(each), direct(each, HUB_SILENT)))
                .toList();
    }

    private boolean ofOwnZone(Peer peer) {
        return peer.identity.zone().equals(self.zone()) && direct(peer, SILENT);
    }

    private NodeState ownState(Map<String, Integer> load, boolean nowReady, boolean full) {
        Map<Integer, Integer> hashed = load.entrySet().stream()
                .collect(Collectors.toMap(each -> each.getKey().hashCode(), Map.Entry::getValue, Integer::sum));
        Optional<NodeIdentity> identity = full ? Optional.of(self) : Optional.empty();
        return new NodeState(
                self.name(),
                identity,
                0,
                nowReady,
                reachesStores.getAsBoolean(),
                exchange.reachesPlatform(),
                exchange.known(),
                hashed);
    }

    private Stream<NodeState> states(Predicate<Peer> told, boolean full) {
        long now = loop.clock().nanos();
        return peers.values().stream()
                .filter(each -> alive(each) && told.test(each))
                .map(each -> each.state
                        .orElseThrow()
                        .told(
                                full ? Optional.of(each.identity) : Optional.empty(),
                                (now - each.saidNanos) / NANOS_PER_MILLI));
    }

    private void send(List<NodeIdentity> receivers, boolean asHub, Stream<NodeState> told) {
        if (receivers.isEmpty()) {
            return;
        }
        List<NodeState> states = told.toList();
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packByte(STATES).packString(self.name()).packBoolean(asHub).packArrayHeader(states.size());
            for (NodeState each : states) {
                each.write(out);
            }
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }

    private void forgetSilent() {
        List<Peer> silent = peers.values().stream()
                .filter(each -> each.state.isPresent() && !alive(each))
                .toList();
        silent.forEach(each -> {
            each.state = Optional.empty();
            frames.reset(each.identity.link());
            logPeer("peer_silent", each.identity.name());
        });
        if (!silent.isEmpty()) {
            dispatcher.peerLoads(
                    silent.stream().collect(Collectors.toMap(each -> each.identity.name(), each -> Map.of())));
        }
    }

    private void takeStates(MessageUnpacker in) throws IOException {
        String sender = in.unpackString();
        long now = loop.clock().nanos();
        if (in.unpackBoolean()) {
            hubUntilNanos = now + SILENT.toNanos();
        }
        Map<String, Map<Integer, Integer>> loads = new HashMap<>();
        int states = in.unpackArrayHeader();
        for (int i = 0; i < states; i++) {
            NodeState state = NodeState.read(in);
            state.identity().ifPresent(this::known);
            Peer peer = peers.get(state.name());
            if (peer != null && takeState(peer, state, now)) {
                loads.put(state.name(), state.load());
            }
        }
        Peer speaker = peers.get(sender);
        if (speaker != null) {
            speaker.directNanos = OptionalLong.of(now);
        }
        news |= !loads.isEmpty();
        dispatcher.peerLoads(loads);
    }

    /** Takes a state in if it is newer than what is known; gives whether it says anything else than before. */
    private boolean takeState(Peer peer, NodeState state, long now) {
        long said = now - state.ageMillis() * NANOS_PER_MILLI;
        boolean older = peer.state.isPresent() && said - peer.saidNanos <= 0;
        if (older || now - said > silentAfter().toNanos()) {
            return false;
        }
        if (peer.state.isEmpty() || peer.state.get().ready() != state.ready()) {
            logPeer(state.ready() ? "peer_ready" : "peer_not_ready", state.name());
        }
        boolean changed = peer.state.isEmpty() || !peer.state.get().saysTheSame(state);
        peer.state = Optional.of(state);
        peer.saidNanos = said;
        exchange.compare(peer.identity.link(), direct(peer, SILENT), state.known(), said);
        return changed;
    }

    private Duration silentAfter() {
        return peers.size() > MeshPlan.DIRECT_PEERS ? SILENT_RELAYED : SILENT;
    }

    private boolean alive(Peer peer) {
        return peer.state.isPresent()
                && loop.clock().nanos() - peer.saidNanos < silentAfter().toNanos();
    }

    private boolean direct(Peer peer, Duration within) {
        return peer.directNanos.isPresent() && loop.clock().nanos() - peer.directNanos.getAsLong() < within.toNanos();
    }

    private static void logPeer(String event, String peer) {
        LOG.log(Logger.Level.INFO, () -> LogLine.of(event).with("peer", peer).toString());
    }
}
