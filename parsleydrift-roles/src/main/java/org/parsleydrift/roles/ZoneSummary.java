package org.parsleydrift.roles;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.registry.ObjectKind;

/**
 * What the hub of an availability zone says of all entry nodes there. A decision needs the sum of their requests at a
 * runner and not who has them, and a node's readiness changes rarely: told state by state, 360 nodes at rest heard 32 KB
 * a second each.
 *
 * @param zone the zone
 * @param hub the node that made it
 * @param ageMillis time since it was made, ms
 * @param version grows with each change of the members
 * @param members the nodes that the hub hears; told when they change and now and then, else the last ones hold
 * @param rounds the round of each member's newest state, in the order of the members
 * @param known what the nodes of the zone know, by kind
 * @param use what all members have in use
 */
record ZoneSummary(
        String zone,
        String hub,
        long ageMillis,
        long version,
        Optional<List<Member>> members,
        List<Integer> rounds,
        Map<ObjectKind, NodeState.Known> known,
        NodeUse use) {
    /** Copies the collections. */
    ZoneSummary {
        members = members.map(List::copyOf);
        rounds = List.copyOf(rounds);
        known = Map.copyOf(known);
    }

    /**
     * A node as its hub hears it.
     *
     * @param name the node
     * @param identity its addresses; told now and then only, for nodes that don't know it yet
     * @param ready whether it may be named to callers
     * @param reachesStores whether it reaches the store VMs directly
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

        private Member nameOnly() {
            return new Member(name, Optional.empty(), ready, reachesStores, reachesPlatform);
        }
    }

    /** How much is told of a zone's members. */
    enum Detail {
        /** That they are the same as before. */
        NONE,
        NAMES,
        ADDRESSES
    }

    /** The same summary as a node of another zone passes it on, without the rounds, which its own zone needs alone. */
    ZoneSummary passedOn(Optional<List<Member>> heard, Detail detail, long age) {
        return new ZoneSummary(zone, hub, age, version, detailed(heard, detail), List.of(), known, use);
    }

    /** The same summary with its members in a detail. */
    ZoneSummary with(Detail detail) {
        return new ZoneSummary(zone, hub, ageMillis, version, detailed(members, detail), rounds, known, use);
    }

    /** Whether it tells the addresses of its members. */
    boolean namesAddresses() {
        return members.stream()
                .flatMap(List::stream)
                .anyMatch(each -> each.identity().isPresent());
    }

    /** Whether another summary says the same, but for ages and rounds. */
    boolean saysTheSame(ZoneSummary other) {
        return hub.equals(other.hub)
                && version == other.version
                && use.equals(other.use)
                && NodeState.newestChanges(known).equals(NodeState.newestChanges(other.known));
    }

    private static Optional<List<Member>> detailed(Optional<List<Member>> members, Detail detail) {
        return switch (detail) {
            case NONE -> Optional.empty();
            case NAMES -> members.map(all -> all.stream().map(Member::nameOnly).toList());
            case ADDRESSES -> members;
        };
    }

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
        NodeState.writeKnown(out, known);
        use.write(out);
    }

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
                zone, hub, ageMillis, version, members, rounds, NodeState.readKnown(in), NodeUse.read(in));
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
