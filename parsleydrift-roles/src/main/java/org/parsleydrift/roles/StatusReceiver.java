package org.parsleydrift.roles;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.placement.fleet.FleetReport;

/** Receives the states of peers and the summaries of hubs, and records what they report. */
final class StatusReceiver {
    /**
     * Maximum time between the arrival of a report and its publication. The reports of all nodes of a zone arrive
     * within a period, and each publication sums up all of them.
     */
    private static final Duration PUBLICATION_DELAY = Duration.ofMillis(20);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final NodeIdentity self;
    private final MeshPeers peers;
    private final ZoneSummaries zones;
    private final SentUsageHistory sentUsage;
    private final FleetUsage fleetUsage;
    private final ObjectSync objectSync;
    private boolean actsAsHub;
    private boolean hasRelayChanges;
    private boolean publicationScheduled;
    private long hubUntilNanos;

    StatusReceiver(
            EventLoop loop,
            NodeIdentity self,
            MeshPeers peers,
            ZoneSummaries zones,
            SentUsageHistory sentUsage,
            FleetUsage fleetUsage,
            ObjectSync objectSync) {
        this.loop = loop;
        this.self = self;
        this.peers = peers;
        this.zones = zones;
        this.sentUsage = sentUsage;
        this.fleetUsage = fleetUsage;
        this.objectSync = objectSync;
        this.hubUntilNanos = loop.clock().nanos();
    }

    /** Whether another node treats this one as its hub. */
    boolean isTreatedAsHub() {
        return hubUntilNanos - loop.clock().nanos() > 0;
    }

    /** Whether states or summaries that a hub forwards have changed since the last round. */
    boolean hasRelayChanges() {
        return hasRelayChanges;
    }

    void clearRelayChanges() {
        hasRelayChanges = false;
    }

    void setActsAsHub(boolean acts) {
        if (acts && !actsAsHub) {
            // From now on the nodes of the zone report to this node directly.
            fleetUsage.forgetReporters(Set.of(zoneKey(self.zone())));
        }
        actsAsHub = acts;
    }

    void receiveState(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        if (in.unpackBoolean()) {
            hubUntilNanos = now + MeshPeers.PEER_TIMEOUT.toNanos();
        }
        NodeState state = NodeState.read(in);
        state.identity().ifPresent(peers::add);
        Optional<MeshPeer> known = peers.find(state.name());
        if (known.isEmpty()) {
            return;
        }
        MeshPeer peer = known.get();
        peer.recordContact(now);
        objectSync.compare(peer.identity.link(), true, state.freshness(), now);
        boolean changed = peers.update(peer, state, now);
        hasRelayChanges |= changed;
        if (changed || !peer.isCountedIndividually()) {
            peer.setCountedIndividually(true);
            fleetUsage.recordUsage(Map.of(state.name(), state.usage()));
        }
        fleetUsage.recordReport(state.name(), state.usage().report(), now);
        scheduleReportPublication();
    }

    void receiveSummaries(MessageUnpacker in) throws IOException {
        long now = loop.clock().nanos();
        String hub = in.unpackString();
        Optional<MeshPeer> sender = peers.find(hub);
        sender.ifPresent(each -> each.recordContact(now));
        int count = in.unpackArrayHeader();
        List<ZoneSummary> summaries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            summaries.add(ZoneSummary.read(in));
        }
        Map<String, FleetReport> reports = StatusExtension.readZones(in, hub);
        summaries.forEach(each -> {
            long createdNanos = now - each.ageMillis() * NANOS_PER_MILLI;
            if (now - createdNanos <= peers.timeout().toNanos()) {
                FleetReport report = reports.getOrDefault(each.zone(), FleetReport.NONE);
                applySummary(each.withReport(report), createdNanos, sender);
            }
        });
        scheduleReportPublication();
    }

    /** Drops the usage and reports of zones and peers that have timed out; returns these peers. */
    List<MeshPeer> dropTimedOut() {
        Map<String, NodeUsage> gone = new HashMap<>();
        zones.removeOlderThan(MeshPeers.RELAYED_PEER_TIMEOUT, loop.clock().nanos())
                .forEach(each -> gone.put(zoneKey(each), NodeUsage.NONE));
        List<MeshPeer> silent = peers.stream()
                .filter(each -> each.state().isPresent() && !peers.isAlive(each))
                .toList();
        silent.forEach(each -> {
            MeshPeers.clear(each);
            gone.put(each.name(), NodeUsage.NONE);
        });
        if (!gone.isEmpty()) {
            fleetUsage.recordUsage(gone);
        }
        scheduleReportPublication();
        return silent;
    }

    private void applySummary(ZoneSummary summary, long createdNanos, Optional<MeshPeer> sender) {
        Optional<ZoneSummaries.Received> former = zones.of(summary.zone());
        Optional<ZoneSummaries.Received> applied = zones.apply(summary, createdNanos);
        if (applied.isEmpty()) {
            return;
        }
        applied.get().members().ifPresent(members -> members.forEach(each -> applyMember(each, createdNanos)));
        former.map(each -> each.departedBefore(applied.get())).orElse(Set.of()).forEach(this::clearDeparted);
        // A hub may report revisions of nodes of its zone that are ahead of the hub itself.
        sender.ifPresent(each -> objectSync.compare(
                each.identity.link(), each.name().equals(summary.hub()), summary.freshness(), createdNanos));
        boolean changed =
                former.filter(each -> each.summary().isEquivalent(summary)).isEmpty();
        hasRelayChanges |= changed;
        if (!summary.zone().equals(self.zone())) {
            if (changed) {
                fleetUsage.recordUsage(Map.of(zoneKey(summary.zone()), summary.usage()));
            }
            fleetUsage.recordReport(zoneKey(summary.zone()), summary.usage().report(), createdNanos);
        } else if (!actsAsHub) {
            applyOwnZone(applied.get());
        }
    }

    private void applyMember(ZoneSummary.Member member, long createdNanos) {
        member.identity().ifPresent(peers::add);
        peers.find(member.name()).ifPresent(each -> peers.update(each, each.relayedState(member), createdNanos));
    }

    /** Clears the state of a node that its hub no longer lists. */
    private void clearDeparted(String name) {
        peers.find(name)
                .filter(each -> each.state().isPresent() && !peers.isDirect(each, MeshPeers.PEER_TIMEOUT))
                .ifPresent(MeshPeers::clear);
    }

    /** Counts the sum of this node's zone in place of the usage that its nodes reported while this node was the hub. */
    private void applyOwnZone(ZoneSummaries.Received received) {
        Set<String> counted = peers.stream()
                .filter(each ->
                        each.isCountedIndividually() && each.identity.zone().equals(self.zone()))
                .peek(each -> each.setCountedIndividually(false))
                .map(MeshPeer::name)
                .collect(Collectors.toSet());
        if (!counted.isEmpty()) {
            fleetUsage.forgetReporters(counted);
        }
        NodeUsage others = sentUsage.usageOfOthers(received, self.name());
        fleetUsage.recordUsage(Map.of(zoneKey(self.zone()), others));
        fleetUsage.recordReport(zoneKey(self.zone()), others.report(), received.createdNanos());
    }

    private void scheduleReportPublication() {
        if (fleetUsage.hasChangedReports() && !publicationScheduled) {
            publicationScheduled = true;
            loop.schedule(PUBLICATION_DELAY, () -> {
                publicationScheduled = false;
                fleetUsage.publishReports(loop.clock().nanos());
            });
        }
    }

    /** Key for the usage of a zone, distinct from all node names. */
    private static String zoneKey(String zone) {
        return "zone " + zone;
    }
}
