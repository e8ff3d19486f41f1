package org.parsleydrift.roles;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.registry.ObjectKind;

/**
 * State of an entry node as sent to its peers.
 *
 * @param name name of the node
 * @param identity addresses of the node; included in some frames only, for nodes that do not know it yet
 * @param round number of the status frame; a hub returns it to identify the load contained in its sum
 * @param ready whether the node can be advertised to callers
 * @param reachesStores whether a quorum of the store VMs has recently answered it directly
 * @param reachesPlatform whether the platform answers it
 * @param freshness revision and staleness of its copies, by kind
 * @param usage its usage of runners and quotas
 */
record NodeState(
        String name,
        Optional<NodeIdentity> identity,
        int round,
        boolean ready,
        boolean reachesStores,
        boolean reachesPlatform,
        Map<ObjectKind, Freshness> freshness,
        NodeUsage usage) {
    private static final Map<String, ObjectKind> KINDS =
            Stream.of(ObjectKind.values()).collect(Collectors.toMap(ObjectKind::name, each -> each));

    /** Copies the map. */
    NodeState {
        freshness = Map.copyOf(freshness);
    }

    /**
     * Revision and staleness of a node's copy of one kind of shared objects.
     *
     * @param latestRevision revision of the latest known change
     * @param stalenessMillis time from sending the node's latest answered request to sending this state, ms; empty
     *     before the first answer
     */
    record Freshness(long latestRevision, OptionalLong stalenessMillis) {
        /** Returns the same with an increased staleness, ms. */
        Freshness agedBy(long millis) {
            return new Freshness(
                    latestRevision,
                    stalenessMillis.isPresent()
                            ? OptionalLong.of(stalenessMillis.getAsLong() + millis)
                            : OptionalLong.empty());
        }

        /**
         * Combines the copies of two nodes. Answers of the platform are ordered by revision, so a copy with the higher
         * revision is complete as of the later of both times.
         */
        static Freshness merge(Freshness one, Freshness other) {
            return new Freshness(
                    Math.max(one.latestRevision, other.latestRevision),
                    LongStream.concat(one.stalenessMillis.stream(), other.stalenessMillis.stream())
                            .min());
        }

        static Freshness read(MessageUnpacker in) throws IOException {
            long latestRevision = in.unpackLong();
            return new Freshness(
                    latestRevision, in.tryUnpackNil() ? OptionalLong.empty() : OptionalLong.of(in.unpackLong()));
        }

        void write(MessagePacker out) throws IOException {
            out.packLong(latestRevision);
            if (stalenessMillis.isPresent()) {
                out.packLong(stalenessMillis.getAsLong());
            } else {
                out.packNil();
            }
        }
    }

    /** Whether another state differs in its round and staleness only. */
    boolean isEquivalent(NodeState other) {
        return ready == other.ready
                && reachesStores == other.reachesStores
                && reachesPlatform == other.reachesPlatform
                && usage.isEquivalent(other.usage)
                && latestRevisions(freshness).equals(latestRevisions(other.freshness));
    }

    static Map<ObjectKind, Long> latestRevisions(Map<ObjectKind, Freshness> freshness) {
        return freshness.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().latestRevision()));
    }

    private NodeState withReport(FleetReport report) {
        return new NodeState(
                name, identity, round, ready, reachesStores, reachesPlatform, freshness, usage.withReport(report));
    }

    /** Writes the state, followed by its report as the extension of the frame. */
    void write(MessagePacker out) throws IOException {
        out.packString(name);
        writeIdentity(out, identity);
        out.packInt(round).packBoolean(ready).packBoolean(reachesStores).packBoolean(reachesPlatform);
        writeFreshness(out, freshness);
        usage.write(out);
        StatusExtension.write(out, usage.report());
    }

    static NodeState read(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        NodeState state = new NodeState(
                name,
                readIdentity(in, name),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                readFreshness(in),
                NodeUsage.read(in));
        return state.withReport(StatusExtension.read(in, name));
    }

    static void writeIdentity(MessagePacker out, Optional<NodeIdentity> identity) throws IOException {
        out.packBoolean(identity.isPresent());
        if (identity.isPresent()) {
            NodeIdentity present = identity.get();
            out.packString(present.zone()).packString(present.callers()).packString(present.link());
        }
    }

    static Optional<NodeIdentity> readIdentity(MessageUnpacker in, String name) throws IOException {
        return in.unpackBoolean()
                ? Optional.of(new NodeIdentity(name, in.unpackString(), in.unpackString(), in.unpackString()))
                : Optional.empty();
    }

    static void writeFreshness(MessagePacker out, Map<ObjectKind, Freshness> freshness) throws IOException {
        out.packMapHeader(freshness.size());
        for (Map.Entry<ObjectKind, Freshness> each : freshness.entrySet()) {
            out.packString(each.getKey().name());
            each.getValue().write(out);
        }
    }

    static Map<ObjectKind, Freshness> readFreshness(MessageUnpacker in) throws IOException {
        Map<ObjectKind, Freshness> freshness = new EnumMap<>(ObjectKind.class);
        int kindCount = in.unpackMapHeader();
        for (int i = 0; i < kindCount; i++) {
            String kind = in.unpackString();
            Freshness received = Freshness.read(in);
            // Nodes of a later version may send kinds that are unknown here.
            if (KINDS.containsKey(kind)) {
                freshness.put(KINDS.get(kind), received);
            }
        }
        return freshness;
    }
}
