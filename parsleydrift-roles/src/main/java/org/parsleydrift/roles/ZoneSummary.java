package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.registry.ObjectKind;

/**
 * Aggregated state of all entry nodes of an availability zone, created by its hub. It holds the sum of their loads
 * instead of one state per node, to keep status traffic small in large fleets.
 *
 * @param zone name of the zone
 * @param hub name of the node that created the summary
 * @param ageMillis time since the summary was created, ms
 * @param version version of the members; increases with each change
 * @param members nodes that the hub hears; empty if unchanged since the last list
 * @param rounds round of each member's latest state, in the order of the members
 * @param freshness latest revision and lowest staleness in the zone, by kind
 * @param usage sum of the usage of all members; the return times of its report count from the creation of the summary
 */
record ZoneSummary(
        String zone,
        String hub,
        long ageMillis,
        long version,
        Optional<List<Member>> members,
        List<Integer> rounds,
        Map<ObjectKind, NodeState.Freshness> freshness,
        NodeUsage usage) {
    /** Copies the collections. */
    ZoneSummary {
        members = members.map(List::copyOf);
        rounds = List.copyOf(rounds);
        freshness = Map.copyOf(freshness);
    }

    /**
     * Node as seen by its hub.
     *
     * @param name name of the node
     * @param identity its addresses; included in some summaries only, for nodes that do not know it yet
     * @param ready whether the node can be advertised to callers
     * @param reachesStores whether a quorum of the store VMs has recently answered it directly
     * @param reachesPlatform whether the platform answers it
     */
    record Member(
            String name,
            Optional<NodeIdentity> identity,
            boolean ready,
            boolean reachesStores,
            boolean reachesPlatform) {
        private void write(MessagePacker out) throws IOException {
            out.packString(name);
            NodeState.writeIdentity(out, identity);
            out.packBoolean(ready).packBoolean(reachesStores).packBoolean(reachesPlatform);
        }

        private static Member read(MessageUnpacker in) throws IOException {
            String name = in.unpackString();
            Optional<NodeIdentity> identity = NodeState.readIdentity(in, name);
            return new Member(name, identity, in.unpackBoolean(), in.unpackBoolean(), in.unpackBoolean());
        }

        private Member withoutAddresses() {
            return new Member(name, Optional.empty(), ready, reachesStores, reachesPlatform);
        }
    }

    /** How much of the members is included. */
    enum Detail {
        /** Members omitted, because they are unchanged. */
        NONE,
        NAMES,
        ADDRESSES
    }

    /**
     * Returns the summary for forwarding to another zone, without the rounds, which only the members' own zone needs.
     */
    ZoneSummary forForwarding(Optional<List<Member>> received, Detail detail, long age) {
        return new ZoneSummary(
                zone, hub, age, version, membersWithDetail(received, detail), List.of(), freshness, usage);
    }

    /** Returns the summary with the members at a level of detail. */
    ZoneSummary withDetail(Detail detail) {
        return new ZoneSummary(
                zone, hub, ageMillis, version, membersWithDetail(members, detail), rounds, freshness, usage);
    }

    /** Whether any member includes its addresses. */
    boolean hasAddresses() {
        return members.stream()
                .flatMap(List::stream)
                .anyMatch(each -> each.identity().isPresent());
    }

    /** Whether another summary differs in its age, rounds and staleness only. */
    boolean isEquivalent(ZoneSummary other) {
        return hub.equals(other.hub)
                && version == other.version
                && usage.isEquivalent(other.usage)
                && NodeState.latestRevisions(freshness).equals(NodeState.latestRevisions(other.freshness));
    }

    /** Returns the summary with a report, which its frame carries apart from it. */
    ZoneSummary withReport(FleetReport report) {
        return new ZoneSummary(zone, hub, ageMillis, version, members, rounds, freshness, usage.withReport(report));
    }

    private static Optional<List<Member>> membersWithDetail(Optional<List<Member>> members, Detail detail) {
        return switch (detail) {
            case NONE -> Optional.empty();
            case NAMES ->
                members.map(all -> all.stream().map(Member::withoutAddresses).toList());
            case ADDRESSES -> members;
        };
    }

    /** Writes the summary without its report. */
    void write(MessagePacker out) throws IOException {
        out.packString(zone).packString(hub).packLong(ageMillis).packLong(version);
        out.packBoolean(members.isPresent());
        if (members.isPresent()) {
            out.packArrayHeader(members.get().size());
            for (Member each : members.get()) {
                each.write(out);
            }
        }
        out.packArrayHeader(rounds.size());
        for (int each : rounds) {
            out.packInt(each);
        }
        NodeState.writeFreshness(out, freshness);
        usage.write(out);
    }

    /** Reads a summary without its report. */
    static ZoneSummary read(MessageUnpacker in) throws IOException {
        String zone = in.unpackString();
        String hub = in.unpackString();
        long ageMillis = in.unpackLong();
        long version = in.unpackLong();
        Optional<List<Member>> members = in.unpackBoolean() ? Optional.of(readMembers(in)) : Optional.empty();
        int size = in.unpackArrayHeader();
        List<Integer> rounds = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            rounds.add(in.unpackInt());
        }
        return new ZoneSummary(
                zone, hub, ageMillis, version, members, rounds, NodeState.readFreshness(in), NodeUsage.read(in));
    }

    private static List<Member> readMembers(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        List<Member> members = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            members.add(Member.read(in));
        }
        return members;
    }
}
