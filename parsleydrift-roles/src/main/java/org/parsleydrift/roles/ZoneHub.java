package org.parsleydrift.roles;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;

/**
 * Hub of an availability zone: aggregates the states of its nodes, sends the summary to other zones, and distributes
 * the summaries of all zones in its own.
 */
final class ZoneHub {
    static final byte ZONES = 16;
    /** Rounds between summaries that list the members, for nodes that missed the last list. */
    private static final int NAMES_ROUNDS = 3;
    /** Rounds between summaries that include the addresses of the members, for nodes that do not know them yet. */
    private static final int ADDRESSES_ROUNDS = 10;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final NodeIdentity self;
    private final FrameSender frames;
    private final ZoneSummaries zones;
    private List<ZoneSummary.Member> lastMembers = List.of();
    private long version;
    private int round;

    ZoneHub(NodeIdentity self, FrameSender frames, ZoneSummaries zones) {
        this.self = self;
        this.frames = frames;
        this.zones = zones;
    }

    /**
     * Sends the summaries of one round.
     *
     * @param plan receivers
     * @param own state of this node
     * @param probing whether the round also goes to nodes that have timed out, which may have restarted without knowing
     *     any peer
     * @param zonePeers nodes of this zone that this node hears directly, ordered by name
     * @param now time on the clock, ns
     */
    void sendSummaries(MeshPlan plan, NodeState own, boolean probing, List<MeshPeer> zonePeers, long now) {
        round++;
        ZoneSummary summary = summary(own, zonePeers, now);
        // A node that has just started may not know any other node or zone.
        boolean membersChanged = !summary.members().equals(Optional.of(lastMembers));
        lastMembers = summary.members().orElseThrow();
        ZoneSummary.Detail detail = membersChanged ? ZoneSummary.Detail.ADDRESSES : detail();
        ZoneSummary detailed = summary.withDetail(probing ? ZoneSummary.Detail.ADDRESSES : detail);
        send(plan.summaryReceivers(), List.of(detailed));
        Stream<ZoneSummary> others = zones.summariesToForward(self.zone(), detail, now).stream();
        send(
                plan.allSummariesReceivers(),
                Stream.concat(Stream.of(detailed), others).toList());
    }

    private ZoneSummary.Detail detail() {
        if (round % ADDRESSES_ROUNDS == 1) {
            return ZoneSummary.Detail.ADDRESSES;
        }
        return round % NAMES_ROUNDS == 0 ? ZoneSummary.Detail.NAMES : ZoneSummary.Detail.NONE;
    }

    private ZoneSummary summary(NodeState own, List<MeshPeer> zonePeers, long now) {
        List<NodeState> states = Stream.concat(
                        Stream.of(own),
                        zonePeers.stream().map(each -> each.state().orElseThrow()))
                .toList();
        List<ZoneSummary.Member> members = Stream.concat(
                        Stream.of(member(self, own)),
                        zonePeers.stream()
                                .map(each -> member(each.identity, each.state().orElseThrow())))
                .toList();
        if (!members.equals(lastMembers)) {
            version++;
        }
        return new ZoneSummary(
                self.zone(),
                self.name(),
                0,
                version,
                Optional.of(members),
                states.stream().map(NodeState::round).toList(),
                zoneFreshness(own, zonePeers, now),
                zoneUsage(own, zonePeers, now));
    }

    private static NodeUsage zoneUsage(NodeState own, List<MeshPeer> zonePeers, long now) {
        return Stream.concat(
                        Stream.of(own.usage()),
                        zonePeers.stream()
                                .map(each -> each.state()
                                        .orElseThrow()
                                        .usage()
                                        .agedBy((now - each.stateNanos()) / NANOS_PER_MILLI)))
                .reduce(NodeUsage.NONE, NodeUsage::plus);
    }

    private static ZoneSummary.Member member(NodeIdentity identity, NodeState state) {
        return new ZoneSummary.Member(
                identity.name(), Optional.of(identity), state.ready(), state.reachesStores(), state.reachesPlatform());
    }

    /** Returns the latest revision that any node of the zone knows, and the lowest staleness, by kind. */
    private static Map<ObjectKind, NodeState.Freshness> zoneFreshness(
            NodeState own, List<MeshPeer> zonePeers, long now) {
        Map<ObjectKind, NodeState.Freshness> freshness = new EnumMap<>(ObjectKind.class);
        freshness.putAll(own.freshness());
        zonePeers.forEach(each -> {
            long age = (now - each.stateNanos()) / NANOS_PER_MILLI;
            each.state()
                    .orElseThrow()
                    .freshness()
                    .forEach((kind, theirs) -> freshness.merge(kind, theirs.agedBy(age), NodeState.Freshness::merge));
        });
        return freshness;
    }

    private void send(List<NodeIdentity> receivers, List<ZoneSummary> summaries) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packByte(ZONES).packString(self.name()).packArrayHeader(summaries.size());
            for (ZoneSummary each : summaries) {
                each.write(out);
            }
            StatusExtension.writeZones(
                    out,
                    summaries.stream()
                            .collect(Collectors.toMap(
                                    ZoneSummary::zone, each -> each.usage().report())));
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }
}
