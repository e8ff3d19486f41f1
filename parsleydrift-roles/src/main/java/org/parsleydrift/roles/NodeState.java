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
import org.parsleydrift.registry.ObjectKind;

/**
 * State of an entry node as sent to its peers.
 *
 * @param name name of the node
 * @param identity addresses of the node; included in some frames only, for nodes that do not know it yet
 * @param round number of the status frame; a hub returns it to identify the load contained in its sum
 * @param ready whether the node can be advertised to callers
 * @param reachesStores whether it reaches the store VMs directly
 * @param reachesPlatform whether the platform answers it
 * @param known revision and staleness of its copies, by kind
 * @param use its usage of runners and quotas
 */
record NodeState(
        String name,
        Optional<NodeIdentity> identity,
        int round,
        boolean ready,
        boolean reachesStores,
        boolean reachesPlatform,
        Map<ObjectKind, Known> known,
        NodeUse use) {
    private static final Map<String, ObjectKind> KINDS =
            Stream.of(ObjectKind.values()).collect(Collectors.toMap(ObjectKind::name, each -> each));

    /** Copies the map. */
    NodeState {
        known = Map.copyOf(known);
    }

    /**
     * Revision and staleness of a node's copy of one kind of shared objects.
     *
     * @param newestChange revision of the latest known change
     * @param answeredMillis time from sending the node's latest answered request to sending this state, ms; empty
     *     before the first answer
     */
    record Known(long newestChange, OptionalLong answeredMillis) {
        /** Returns the same with an increased staleness, ms. */
        Known later(long millis) {
            return new Known(
                    newestChange,
                    answeredMillis.isPresent()
                            ? OptionalLong.of(answeredMillis.getAsLong() + millis)
                            : OptionalLong.empty());
        }

        /**
         * Combines the copies of two nodes. Answers of the platform are ordered by revision, so a copy with the higher
         * revision is complete as of the later of both times.
         */
        static Known newest(Known one, Known other) {
            return new Known(
                    Math.max(one.newestChange, other.newestChange),
                    LongStream.concat(one.answeredMillis.stream(), other.answeredMillis.stream())
                            .min());
        }

        static Known read(MessageUnpacker in) throws IOException {
            long newestChange = in.unpackLong();
            return new Known(newestChange, in.tryUnpackNil() ? OptionalLong.empty() : OptionalLong.of(in.unpackLong()));
        }

        void write(MessagePacker out) throws IOException {
            out.packLong(newestChange);
            if (answeredMillis.isPresent()) {
                out.packLong(answeredMillis.getAsLong());
            } else {
                out.packNil();
            }
        }
    }

    /** Whether another state differs in its round and staleness only. */
    boolean saysTheSame(NodeState other) {
        return ready == other.ready
                && reachesStores == other.reachesStores
                && reachesPlatform == other.reachesPlatform
                && use.equals(other.use)
                && newestChanges(known).equals(newestChanges(other.known));
    }

    static Map<ObjectKind, Long> newestChanges(Map<ObjectKind, Known> known) {
        return known.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().newestChange()));
    }

    void write(MessagePacker out) throws IOException {
        out.packString(name);
        writeIdentity(out, identity);
        out.packInt(round).packBoolean(ready).packBoolean(reachesStores).packBoolean(reachesPlatform);
        writeKnown(out, known);
        use.write(out);
    }

    static NodeState read(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        return new NodeState(
                name,
                readIdentity(in, name),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                readKnown(in),
                NodeUse.read(in));
    }

    static void writeIdentity(MessagePacker out, Optional<NodeIdentity> identity) throws IOException {
        out.packBoolean(identity.isPresent());
        if (identity.isPresent()) {
            NodeIdentity told = identity.get();
            out.packString(told.zone()).packString(told.callers()).packString(told.link());
        }
    }

    static Optional<NodeIdentity> readIdentity(MessageUnpacker in, String name) throws IOException {
        return in.unpackBoolean()
                ? Optional.of(new NodeIdentity(name, in.unpackString(), in.unpackString(), in.unpackString()))
                : Optional.empty();
    }

    static void writeKnown(MessagePacker out, Map<ObjectKind, Known> known) throws IOException {
        out.packMapHeader(known.size());
        for (Map.Entry<ObjectKind, Known> each : known.entrySet()) {
            out.packString(each.getKey().name());
            each.getValue().write(out);
        }
    }

    static Map<ObjectKind, Known> readKnown(MessageUnpacker in) throws IOException {
        Map<ObjectKind, Known> known = new EnumMap<>(ObjectKind.class);
        int kinds = in.unpackMapHeader();
        for (int i = 0; i < kinds; i++) {
            String kind = in.unpackString();
            Known told = Known.read(in);
            // Nodes of a later version may send kinds that are unknown here.
            if (KINDS.containsKey(kind)) {
                known.put(KINDS.get(kind), told);
            }
        }
        return known;
    }
}
