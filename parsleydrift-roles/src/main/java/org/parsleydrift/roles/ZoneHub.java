package org.parsleydrift.roles;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.registry.ObjectKind;

/**
 * What a node does as the hub of its availability zone: it sums up what the nodes there say of themselves, tells the sums
 * to other zones, and passes on to its own zone the sums of all.
 */
final class ZoneHub {
    static final byte ZONES = 16;
    /** Of so many rounds one names the members of each zone, for nodes that missed the last naming. */
    private static final int NAMES_EVERY = 3;
    /** Of so many rounds one tells the members' addresses, for nodes that nothing else has told them. */
    private static final int ADDRESSES_EVERY = 10;

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
     * Tells one round.
     *
     * @param plan whom to tell
     * @param own this node's state
     * @param probing whether nodes of this zone that seem gone are told too: one may have come back and know nobody
     * @param mates nodes of this zone that this node hears itself, in the order of their names
     * @param now the time
     */
    void tell(MeshPlan plan, NodeState own, boolean probing, List<MeshPeer> mates, long now) {
        round++;
        ZoneSummary summary = summary(own, mates, now);
        // A node that has just come may know of nobody, of no other zone either.
        boolean changed = !summary.members().equals(Optional.of(lastMembers));
        lastMembers = summary.members().orElseThrow();
        ZoneSummary.Detail detail = changed ? ZoneSummary.Detail.ADDRESSES : detail();
        ZoneSummary told = summary.with(probing ? ZoneSummary.Detail.ADDRESSES : detail);
        send(plan.zone(), List.of(told));
        Stream<ZoneSummary> others = zones.toPassOn(self.zone(), detail, now).stream();
        send(plan.all(), Stream.concat(Stream.of(told), others).toList());
    }

    private ZoneSummary.Detail detail() {
        if (round % ADDRESSES_EVERY == 1) {
            return ZoneSummary.Detail.ADDRESSES;
        }
        return round % NAMES_EVERY == 0 ? ZoneSummary.Detail.NAMES : ZoneSummary.Detail.NONE;
    }

    private ZoneSummary summary(NodeState own, List<MeshPeer> mates, long now) {
        List<NodeState> states = Stream.concat(
                        Stream.of(own), mates.stream().map(each -> each.state().orElseThrow()))
                .toList();
        List<ZoneSummary.Member> members = Stream.concat(
                        Stream.of(member(self, own)),
                        mates.stream()
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
                known(own, mates, now),
                states.stream().map(NodeState::use).reduce(NodeUse.NONE, NodeUse::plus));
    }

    private static ZoneSummary.Member member(NodeIdentity identity, NodeState state) {
        return new ZoneSummary.Member(
                identity.name(), Optional.of(identity), state.ready(), state.reachesStores(), state.reachesPlatform());
    }

    /** Of each kind the newest change that any node knows, and how long ago the platform answered any. */
    private static Map<ObjectKind, NodeState.Known> known(NodeState own, List<MeshPeer> mates, long now) {
        Map<ObjectKind, NodeState.Known> known = new EnumMap<>(ObjectKind.class);
        known.putAll(own.known());
        mates.forEach(each -> {
            long age = (now - each.saidNanos()) / NANOS_PER_MILLI;
            each.state()
                    .orElseThrow()
                    .known()
                    .forEach((kind, theirs) -> known.merge(kind, theirs.later(age), NodeState.Known::newest));
        });
        return known;
    }

    private void send(List<NodeIdentity> receivers, List<ZoneSummary> told) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packByte(ZONES).packString(self.name()).packArrayHeader(told.size());
            for (ZoneSummary each : told) {
                each.write(out);
            }
        });
        receivers.forEach(each -> frames.send(each.link(), frame));
    }
}
