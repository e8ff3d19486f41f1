package org.parsleydrift.roles;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/** Decides which nodes watch the platform for the whole fleet, and when a node checks it for changes itself. */
final class PlatformChecks {
    /**
     * Staleness at which the first node checks for changes. With the interval of the checks (80 ms, with hubs 160 ms),
     * the next status frame (320 ms) and the lag allowed before a fetch (250 ms), all nodes know a change after 1.6 s,
     * through hubs after 1.9 s, even if every watch is dead; {@link
     * org.parsleydrift.registry.StalenessTracker#MAX_STALENESS} allows 2 s.
     */
    private static final Duration CHECK_STALENESS = Duration.ofMillis(900);
    /**
     * Additional staleness for each further node. Status frames carry the staleness every 320 ms, through hubs twice as
     * late, so that usually a single node checks.
     */
    private static final Duration CHECK_STEP = Duration.ofMillis(500);
    /**
     * Minimum number of nodes that watch the platform for the whole fleet; two remain while the failure of one goes
     * undetected. If every node watched, each change would cost a request per node.
     */
    private static final int MIN_WATCHING_NODES = 3;
    /** Time until a started node knows from its peers whether it has to watch; it does not watch before. */
    private static final Duration WATCH_START_DELAY = Duration.ofMillis(1200);

    private final NodeIdentity self;
    private final MeshPeers peers;
    private final ObjectSync objectSync;
    private final Consumer<Boolean> watchingListener;
    private final RandomGenerator random;
    private final LongSupplier nanos;
    private final long startNanos;
    private long decisionNanos;

    PlatformChecks(
            NodeIdentity self,
            MeshPeers peers,
            ObjectSync objectSync,
            Consumer<Boolean> watchingListener,
            RandomGenerator random,
            LongSupplier nanos) {
        this.self = self;
        this.peers = peers;
        this.objectSync = objectSync;
        this.watchingListener = watchingListener;
        this.random = random;
        this.nanos = nanos;
        this.startNanos = nanos.getAsLong();
        this.decisionNanos = startNanos;
    }

    /** Decides by {@link WatchPolicy} whether this node watches, among the nodes of its zone in fleets with hubs. */
    boolean updateWatching() {
        boolean starting = nanos.getAsLong() - startNanos < WATCH_START_DELAY.toNanos();
        List<MeshPeer> live = peers.stream()
                .filter(each -> !peers.usesHubs() || each.identity.zone().equals(self.zone()))
                .filter(peers::isAlive)
                .toList();
        List<MeshPeer> preceding = live.stream()
                .filter(each -> each.name().compareTo(self.name()) < 0)
                .toList();
        long answered = preceding.stream()
                .filter(each -> each.state().orElseThrow().reachesPlatform())
                .count();
        WatchPolicy policy = new WatchPolicy(peers.usesHubs() ? watchingNodesPerZone() : MIN_WATCHING_NODES);
        Duration sinceDecision = Duration.ofNanos(nanos.getAsLong() - decisionNanos);
        decisionNanos = nanos.getAsLong();
        WatchPolicy.View view =
                new WatchPolicy.View(preceding.size(), answered, live.size() + 1, objectSync.reachesPlatform());
        boolean watches = !starting && policy.watches(view, sinceDecision, random);
        objectSync.setWatching(watches);
        watchingListener.accept(watches);
        return watches;
    }

    private long watchingNodesPerZone() {
        long zoneCount = Stream.concat(Stream.of(self.zone()), peers.stream().map(each -> each.identity.zone()))
                .distinct()
                .count();
        return (MIN_WATCHING_NODES + zoneCount - 1) / zoneCount;
    }

    /** Checks for changes if this node's copies are stale. */
    void checkIfStale() {
        objectSync.checkIfStale(checkStaleness());
    }

    /**
     * Returns the staleness at which this node checks for changes. Peers that the platform answers come before those
     * that it rejects, then the order is by name.
     */
    private Duration checkStaleness() {
        long preceding = peers.stream()
                .filter(each -> peers.isAlive(each) && checksBefore(each))
                .count();
        return CHECK_STALENESS.plus(CHECK_STEP.multipliedBy(preceding));
    }

    private boolean checksBefore(MeshPeer peer) {
        boolean answered = peer.state().orElseThrow().reachesPlatform();
        return answered == objectSync.reachesPlatform() ? peer.identity.name().compareTo(self.name()) < 0 : answered;
    }
}
