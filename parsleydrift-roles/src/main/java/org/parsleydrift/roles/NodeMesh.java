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
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;

/**
 * What entry nodes tell each other: whether they are ready, what they have at each runner, and how new their knowledge
 * is. Whom a node tells what is the {@link MeshPlan}'s; in large fleets a {@link ZoneHub} sums up what the nodes of its zone
 * say. A few nodes watch the platform for all, and the others learn of drains and manifests from them, as do nodes that the
 * platform turns away ({@link KnowledgeExchange}).
 */
final class NodeMesh {
    private static final Logger LOG = System.getLogger(NodeMesh.class.getName());
    /** Period of status frames while the load changes; a burst doubles the load of a runner in about this time. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /**
     * One period in so many where hubs sum states up: by way of two hubs a load is then some 200 ms old at the median, and
     * a small VM spends half as much on telling and hearing.
     */
    private static final int RELAYED_PERIODS = 2;
    /** Status frames while nothing changes, in periods. */
    private static final int QUIET_PERIODS = 4;
    /** Of so many rounds one tells the addresses too, for peers that don't know a node yet, and tries silent nodes. */
    private static final int FULL_EVERY = 8;
    /** A peer unheard for this long is not named to callers: three quiet status frames. */
    private static final Duration SILENT = Duration.ofSeconds(1);
    /** The same where hubs pass states on: the wait for a silent hub's successor comes on top. */
    private static final Duration SILENT_RELAYED = Duration.ofMillis(1600);
    /** A hub unheard for this long is passed over: it speaks every 160 to 320 ms. */
    private static final Duration HUB_SILENT = Duration.ofMillis(600);
    /**
     * Knowledge of this age is checked at the platform by the first node. With the period in which it is looked at (80 ms, with hubs 160),
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
     * Nodes that watch the platform for a whole fleet, at least: of three, two go on while the end of one is not noticed,
     * and the age of knowledge tells if all have gone silent. Where each node watches, each change costs a call a node.
     */
    private static final int WATCHING = 3;
    /** A node that starts is told by then who watches; until then it doesn't, so that a fleet that starts asks less. */
    private static final Duration WATCH_DECIDED = Duration.ofMillis(1200);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final byte STATE = 14;

    private final EventLoop loop;
    private final FrameSender frames;
    private final NodeIdentity self;
    private final FleetUse fleetUse;
    private final BooleanSupplier ready;
    private final BooleanSupplier reachesStores;
    private final RandomGenerator random;
    private final KnowledgeExchange exchange;
    private final Consumer<Boolean> watching;
    private final long startNanos;
    private final Map<String, MeshPeer> peers = new HashMap<>();
    private final ZoneSummaries zones = new ZoneSummaries();
    private final ToldUse toldUse = new ToldUse();
    private final ZoneHub hub;
    private final CallerSpread spread = new CallerSpread();
    private Said lastSaid = new Said(NodeUse.NONE, false, Map.of());
    private boolean actsAsHub;
    private int period;
    private boolean news;
    private long hubUntilNanos;
    private int quiet;
    private int round;

    NodeMesh(
            EventLoop loop,
            FrameSender frames,
            NodeIdentity self,
            FleetUse fleetUse,
            BooleanSupplier ready,
            BooleanSupplier reachesStores,
            RandomGenerator random,
            Map<ObjectKind, FollowedKind> followed,
            Consumer<Boolean> watching) {
        this.loop = loop;
        this.frames = frames;
        this.self = self;
        this.fleetUse = fleetUse;
        this.ready = ready;
        this.reachesStores = reachesStores;
        this.random = random;
        this.hub = new ZoneHub(self, frames, zones);
        this.exchange = new KnowledgeExchange(loop, frames, self.link(), followed);
        this.watching = watching;
        this.startNanos = loop.clock().nanos();
        this.hubUntilNanos = startNanos;
    }

    void start() {
        loop.scheduleWithFixedDelay(STATUS_PERIOD, this::tellInTurn);
    }

    /** A peer was named by the platform, or spoke. */
    void known(NodeIdentity identity) {
        if (identity.name().equals(self.name())) {
            return;
        }
        MeshPeer peer = peers.get(identity.name());
        if (peer == null || !peer.identity.equals(identity)) {
            peers.put(identity.name(), new MeshPeer(identity));
            // What its former life had at the runners is gone with it.
            fleetUse.told(Map.of(identity.name(), NodeUse.NONE));
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("peer_known")
                            .with("peer", identity.name())
                            .with("link", identity.link())
                            .with("zone", identity.zone())
                            .toString());
        }
    }

    /** All nodes that are ready, this one included. */
    List<NodeIdentity> readyNodes() {
        Stream<NodeIdentity> others = peers.values().stream()
                .filter(each -> alive(each) && each.state().orElseThrow().ready())
                .map(each -> each.identity);
        Stream<NodeIdentity> own = ready.getAsBoolean() ? Stream.of(self) : Stream.empty();
        return Stream.concat(own, others).toList();
    }

    /** Addresses for callers: of the ready nodes, as many as the load needs. */
    List<String> readyAddresses() {
        return spread.named(readyNodes()).stream()
                .sorted(Comparator.comparing((NodeIdentity each) -> !each.zone().equals(self.zone()))
                        .thenComparing(NodeIdentity::name))
                .limit(MOST_ADDRESSES)
                .map(NodeIdentity::callers)
                .toList();
    }

    /** A peer, drawn by lot, that reaches the store VMs; first among those that this node hears itself. */
    Optional<String> peerThatReachesStores() {
        List<MeshPeer> reaching = peers.values().stream()
                .filter(each -> alive(each) && each.state().orElseThrow().reachesStores())
                .toList();
        List<MeshPeer> near =
                reaching.stream().filter(each -> direct(each, SILENT)).toList();
        List<MeshPeer> drawn = near.isEmpty() ? reaching : near;
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
                case STATE -> takeState(in);
                case ZoneHub.ZONES -> takeZones(in);
                default -> {
                    return exchange.receive(type, in);
                }
            }
            return true;
        });
    }

    private void tellInTurn() {
        period++;
        if (!relayed() || period % RELAYED_PERIODS == 0) {
            tell();
        }
    }

    /** Whether hubs pass states on, since each to each would be too many frames. */
    private boolean relayed() {
        return peers.size() > MeshPlan.DIRECT_PEERS;
    }

    private void tell() {
        forgetSilent();
        spread.load(fleetUse.requests(), loop.clock().nanos());
        exchange.lookAtAge(checkAfter());
        boolean full = round % FULL_EVERY == 0;
        MeshPlan plan =
                MeshPlan.of(self, neighbours(), hubUntilNanos - loop.clock().nanos() > 0, full);
        passNewsOnTo(plan);
        actAsHub(!plan.all().isEmpty() || !plan.zone().isEmpty());
        Said now = new Said(fleetUse.own(), ready.getAsBoolean(), exchange.newestChanges());
        if (mayRest(now)) {
            return;
        }
        quiet = 0;
        round++;
        news = false;
        lastSaid = now;
        NodeState own = ownState(now, full);
        send(plan.own(), own);
        if (actsAsHub) {
            hub.tell(plan, own, full, heardMates(), loop.clock().nanos());
        }
    }

    /** What of a node's state is told at once when it changes. */
    private record Said(NodeUse use, boolean ready, Map<ObjectKind, Long> known) {}

    /** Whether there is nothing new to tell, and the time for telling all the same has not come. */
    private boolean mayRest(Said now) {
        boolean same = now.equals(lastSaid) && !(actsAsHub && news);
        int mostQuiet = relayed() ? QUIET_PERIODS / RELAYED_PERIODS : QUIET_PERIODS;
        return same && ++quiet < mostQuiet;
    }

    private void passNewsOnTo(MeshPlan plan) {
        boolean watches = decideWatching();
        // Where each hears each, a change that every node passed on would cost as many frames as there are pairs.
        List<NodeIdentity> all = watches ? plan.own() : List.of();
        exchange.passOnTo(relayed() ? plan.all() : all);
    }

    private void actAsHub(boolean acts) {
        if (acts && !actsAsHub) {
            // From now on the nodes of the zone tell this one themselves.
            fleetUse.movedFrom(Set.of(ofZone(self.zone())));
        }
        actsAsHub = acts;
    }

    private List<MeshPeer> heardMates() {
        return peers.values().stream()
                .filter(each -> each.identity.zone().equals(self.zone()) && direct(each, SILENT) && alive(each))
                .sorted(Comparator.comparing(MeshPeer::name))
                .toList();
    }

    /**
     * The first nodes of each zone that the platform answers watch it for all. Of a fleet without hubs each node hears each
     * other one: there it is the first nodes of all.
     */
    private boolean decideWatching() {
        boolean early = loop.clock().nanos() - startNanos < WATCH_DECIDED.toNanos();
        long before = peers.values().stream()
                .filter(each -> !relayed() || each.identity.zone().equals(self.zone()))
                .filter(each -> each.name().compareTo(self.name()) < 0
                        && alive(each)
                        && each.state().orElseThrow().reachesPlatform())
                .count();
        boolean watches = before < (relayed() ? watchingPerZone() : WATCHING);
        exchange.follow(watches && !early);
        watching.accept(watches && !early);
        return watches && !early;
    }

    private long watchingPerZone() {
        long zoneCount = Stream.concat(
                        Stream.of(self.zone()), peers.values().stream().map(each -> each.identity.zone()))
                .distinct()
                .count();
        return (WATCHING + zoneCount - 1) / zoneCount;
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

    private boolean checksBefore(MeshPeer peer) {
        boolean answered = peer.state().orElseThrow().reachesPlatform();
        return answered == exchange.reachesPlatform() ? peer.identity.name().compareTo(self.name()) < 0 : answered;
    }

    private List<MeshPlan.Neighbour> neighbours() {
        return peers.values().stream()
                .map(each -> new MeshPlan.Neighbour(each.identity, alive(each), direct(each, HUB_SILENT)))
                .toList();
    }

    private NodeState ownState(Said now, boolean full) {
        toldUse.told(round, now.use());
        Optional<NodeIdentity> identity = full ? Optional.of(self) : Optional.empty();
        return new NodeState(
                self.name(),
                identity,
                round,
                now.ready(),
                reachesStores.getAsBoolean(),
                exchange.reachesPlatform(),
                exchange.known(),
                now.use());
    }

    private void send(List<NodeIdentity> receivers, NodeState own) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packByte(STATE).packBoolean(relayed());
            own.write(out);
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }

    private void forgetSilent() {
        Map<String, NodeUse> gone = new HashMap<>();
        zones.forgetOlder(SILENT_RELAYED, loop.clock().nanos()).forEach(each -> gone.put(ofZone(each), NodeUse.NONE));
        peers.values().stream()
                .filter(each -> each.state().isPresent() && !alive(each))
                .forEach(each -> {
                    each.forgetState();
                    frames.reset(each.identity.link());
                    gone.put(each.name(), NodeUse.NONE);
                    logPeer("peer_silent", each.name());
                });
        if (!gone.isEmpty()) {
            fleetUse.told(gone);
        }
    }

    private void takeState(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        if (in.unpackBoolean()) {
            hubUntilNanos = now + SILENT.toNanos();
        }
        NodeState state = NodeState.read(in);
        state.identity().ifPresent(this::known);
        MeshPeer peer = peers.get(state.name());
        if (peer == null) {
            return;
        }
        peer.spoke(now);
        exchange.compare(peer.identity.link(), true, state.known(), now);
        boolean changed = take(peer, state, now);
        news |= changed;
        if (changed || !peer.countsByItself()) {
            peer.countByItself(true);
            fleetUse.told(Map.of(state.name(), state.use()));
        }
    }

    private void takeZones(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        Optional<MeshPeer> sender = Optional.ofNullable(peers.get(in.unpackString()));
        sender.ifPresent(each -> each.spoke(now));
        int told = in.unpackArrayHeader();
        for (int i = 0; i < told; i++) {
            ZoneSummary summary = ZoneSummary.read(in);
            long said = now - summary.ageMillis() * NANOS_PER_MILLI;
            if (now - said <= silentAfter().toNanos()) {
                takeZone(summary, said, sender);
            }
        }
    }

    private void takeZone(ZoneSummary summary, long said, Optional<MeshPeer> sender) {
        Optional<ZoneSummaries.Heard> former = zones.of(summary.zone());
        Optional<ZoneSummaries.Heard> taken = zones.take(summary, said);
        if (taken.isEmpty()) {
            return;
        }
        taken.get().members().ifPresent(members -> members.forEach(each -> takeMember(each, said)));
        former.map(each -> each.leftBefore(taken.get())).orElse(Set.of()).forEach(this::forgetLeft);
        // A hub may tell what a node of its zone knows before it knows as much itself.
        sender.ifPresent(each ->
                exchange.compare(each.identity.link(), each.name().equals(summary.hub()), summary.known(), said));
        boolean changed =
                former.filter(each -> each.summary().saysTheSame(summary)).isEmpty();
        news |= changed;
        if (!summary.zone().equals(self.zone())) {
            if (changed) {
                fleetUse.told(Map.of(ofZone(summary.zone()), summary.use()));
            }
        } else if (!actsAsHub) {
            takeOwnZone(taken.get());
        }
    }

    private void takeMember(ZoneSummary.Member member, long said) {
        member.identity().ifPresent(this::known);
        MeshPeer peer = peers.get(member.name());
        if (peer != null) {
            take(peer, peer.relayed(member), said);
        }
    }

    /** Its hub doesn't hear it any more. */
    private void forgetLeft(String name) {
        MeshPeer left = peers.get(name);
        if (left != null && left.state().isPresent() && !direct(left, SILENT)) {
            left.forgetState();
            logPeer("peer_silent", name);
        }
    }

    /** The hub's sum counts in place of what mates told this node while it was the hub itself. */
    private void takeOwnZone(ZoneSummaries.Heard heard) {
        Set<String> mates = peers.values().stream()
                .filter(each -> each.countsByItself() && each.identity.zone().equals(self.zone()))
                .peek(each -> each.countByItself(false))
                .map(MeshPeer::name)
                .collect(Collectors.toSet());
        if (!mates.isEmpty()) {
            fleetUse.movedFrom(mates);
        }
        fleetUse.told(Map.of(ofZone(self.zone()), toldUse.othersIn(heard, self.name())));
    }

    /** The key under which the use of a zone is counted; no node has such a name. */
    private static String ofZone(String zone) {
        return "zone " + zone;
    }

    private boolean take(MeshPeer peer, NodeState state, long said) {
        boolean former = peer.state().filter(NodeState::ready).isPresent();
        boolean changed = peer.take(state, said);
        if (changed && former != state.ready()) {
            logPeer(state.ready() ? "peer_ready" : "peer_not_ready", state.name());
        }
        return changed;
    }

    private Duration silentAfter() {
        return relayed() ? SILENT_RELAYED : SILENT;
    }

    private boolean alive(MeshPeer peer) {
        return peer.saidWithin(silentAfter(), loop.clock().nanos());
    }

    private boolean direct(MeshPeer peer, Duration within) {
        return peer.spokeWithin(within, loop.clock().nanos());
    }

    private static void logPeer(String event, String peer) {
        LOG.log(Logger.Level.INFO, () -> LogLine.of(event).with("peer", peer).toString());
    }
}
