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
 * Exchanges status between entry nodes: readiness, load at each runner, usage of quotas, and revision and staleness of
 * the shared objects. {@link MeshPlan} determines the receivers; in large fleets a {@link ZoneHub} aggregates the
 * states of its zone. A few nodes watch the platform for all, and the others get changes from them through
 * {@link KnowledgeExchange}, as do nodes that the platform rejects.
 */
final class NodeMesh {
    private static final Logger LOG = System.getLogger(NodeMesh.class.getName());
    /** Period of status frames while the status changes. */
    private static final Duration STATUS_PERIOD = Duration.ofMillis(80);
    /** Status periods per round in fleets with hubs. */
    private static final int RELAYED_PERIODS = 2;
    /** Status periods between frames while the status does not change. */
    private static final int QUIET_PERIODS = 4;
    /** Rounds between frames that include the addresses of the node and that also go to nodes that have timed out. */
    private static final int FULL_EVERY = 8;
    /** Time without a frame after which a peer is no longer advertised to callers. */
    private static final Duration SILENT = Duration.ofSeconds(1);
    /** The same in fleets with hubs, including the time for replacing a failed hub. */
    private static final Duration SILENT_RELAYED = Duration.ofMillis(1600);
    /** Time without a frame after which the next node of the zone is used as hub. */
    private static final Duration HUB_SILENT = Duration.ofMillis(600);
    /**
     * Staleness at which the first node checks for changes. Together with the status period, the next status frame and
     * the lag allowed before a fetch, this lets all nodes apply a change within
     * {@link org.parsleydrift.registry.StalenessTracker#MAX_STALENESS} even if every watch is dead.
     */
    private static final Duration CHECK_AGE = Duration.ofMillis(900);
    /**
     * Additional staleness for each further node. Exceeds the interval at which staleness is exchanged, so that usually
     * a single node checks.
     */
    private static final Duration CHECK_STEP = Duration.ofMillis(500);
    /** Maximum number of addresses that callers read. */
    private static final int MOST_ADDRESSES = 64;

    /**
     * Minimum number of nodes that watch the platform for the whole fleet; two remain while the failure of one goes
     * undetected.
     */
    private static final int WATCHING = 3;
    /** Time until a started node knows from its peers whether it has to watch; it does not watch before. */
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
        loop.every(STATUS_PERIOD, this::tellInTurn);
    }

    /** Adds a peer that was listed by the platform or introduced itself. */
    void known(NodeIdentity identity) {
        if (identity.name().equals(self.name())) {
            return;
        }
        MeshPeer peer = peers.get(identity.name());
        if (peer == null || !peer.identity.equals(identity)) {
            peers.put(identity.name(), new MeshPeer(identity));
            // The load of its former incarnation no longer exists.
            fleetUse.told(Map.of(identity.name(), NodeUse.NONE));
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("peer_added")
                            .with("peer", identity.name())
                            .with("link", identity.link())
                            .with("zone", identity.zone())
                            .toString());
        }
    }

    /** Returns all ready nodes, including this one. */
    List<NodeIdentity> readyNodes() {
        Stream<NodeIdentity> others = peers.values().stream()
                .filter(each -> alive(each) && each.state().orElseThrow().ready())
                .map(each -> each.identity);
        Stream<NodeIdentity> own = ready.getAsBoolean() ? Stream.of(self) : Stream.empty();
        return Stream.concat(own, others).toList();
    }

    /** Returns the addresses to advertise to callers, those of this node's zone first. */
    List<String> readyAddresses() {
        return spread.named(readyNodes()).stream()
                .sorted(Comparator.comparing((NodeIdentity each) -> !each.zone().equals(self.zone()))
                        .thenComparing(NodeIdentity::name))
                .limit(MOST_ADDRESSES)
                .map(NodeIdentity::callers)
                .toList();
    }

    /**
     * Returns the link address of a random peer that reaches the store VMs, preferring peers heard directly; empty if
     * there is none.
     */
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

    /** Sends a status frame immediately, outside the period. */
    void tellNow() {
        quiet = QUIET_PERIODS;
        tell();
    }

    /** Handles a frame; returns false if its type is not one of the mesh. */
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

    /** Whether the fleet is too large for a full mesh. */
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

    /** Part of the node's state whose changes are sent without delay. */
    private record Said(NodeUse use, boolean ready, Map<ObjectKind, Long> known) {}

    /** Whether this round can be skipped: nothing has changed, and the idle interval has not elapsed. */
    private boolean mayRest(Said now) {
        boolean same = now.equals(lastSaid) && !(actsAsHub && news);
        int mostQuiet = relayed() ? QUIET_PERIODS / RELAYED_PERIODS : QUIET_PERIODS;
        return same && ++quiet < mostQuiet;
    }

    private void passNewsOnTo(MeshPlan plan) {
        boolean watches = decideWatching();
        // In a full mesh only the watching nodes forward, since the number of frames would otherwise grow with the
        // square of the nodes.
        List<NodeIdentity> all = watches ? plan.own() : List.of();
        exchange.passOnTo(relayed() ? plan.all() : all);
    }

    private void actAsHub(boolean acts) {
        if (acts && !actsAsHub) {
            // From now on the nodes of the zone report to this node directly.
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
     * Decides whether this node watches the platform. The watching nodes are the first ones, by name, that the platform
     * answers: of each zone in fleets with hubs, otherwise of the whole fleet.
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
     * Returns the staleness at which this node checks for changes. Peers that the platform answers come before those
     * that it rejects, then the order is by name.
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
        // A hub may report revisions of nodes of its zone that are ahead of the hub itself.
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

    /** Clears the state of a node that its hub no longer lists. */
    private void forgetLeft(String name) {
        MeshPeer left = peers.get(name);
        if (left != null && left.state().isPresent() && !direct(left, SILENT)) {
            left.forgetState();
            logPeer("peer_silent", name);
        }
    }

    /** Counts the sum of this node's zone in place of the usage that its nodes reported while this node was the hub. */
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

    /** Key for the usage of a zone, distinct from all node names. */
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
