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
 * What an entry node says of itself.
 *
 * @param name the node
 * @param identity its addresses; told now and then only, for nodes that don't know it yet
 * @param round grows with each telling; a hub names it to say which load of this node its sum holds
 * @param ready whether it may be named to callers
 * @param reachesStores whether it reaches the store VMs directly
 * @param reachesPlatform whether the platform answers it
 * @param known what it knows, by kind
 * @param use what it has in use
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
     * What a node knows of a kind of shared objects.
     *
     * @param newestChange the revision of the newest change that it knows
     * @param answeredMillis when the node said this, the time since its newest call was asked that the platform has
     *     answered, ms; empty before the first
     */
    record Known(long newestChange, OptionalLong answeredMillis) {
        /** The same as told later. */
        Known later(long millis) {
            return new Known(
                    newestChange,
                    answeredMillis.isPresent()
                            ? OptionalLong.of(answeredMillis.getAsLong() + millis)
                            : OptionalLong.empty());
        }

        /**
         * What two nodes know together. The platform's answers are in order, so that one that knows as much as both is
         * complete up to the newer answer.
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

    /** Whether another state says the same, but for its round and ages. */
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
            // A node of a later version may follow kinds that this one doesn't know.
            if (KINDS.containsKey(kind)) {
                known.put(KINDS.get(kind), told);
            }
        }
        return known;
    }
}
