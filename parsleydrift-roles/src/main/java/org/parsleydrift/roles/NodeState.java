package org.parsleydrift.roles;

import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.registry.ObjectKind;

/**
 * What an entry node says of itself, as it or a hub of its zone tells it.
 *
 * @param name the node
 * @param identity its addresses; told now and then only, for nodes that don't know it yet
 * @param ageMillis time since the node said it, ms
 * @param ready whether it may be named to callers
 * @param reachesStores whether it reaches the store VMs directly
 * @param reachesPlatform whether the platform answers it
 * @param known what it knows, by kind
 * @param load its requests at each runner, by the hash of the runner's life: two that meet only make a runner look busier
 */
record NodeState(
        String name,
        Optional<NodeIdentity> identity,
        long ageMillis,
        boolean ready,
        boolean reachesStores,
        boolean reachesPlatform,
        Map<ObjectKind, Known> known,
        Map<Integer, Integer> load) {
    /** Copies the maps. */
    NodeState {
        known = Map.copyOf(known);
        load = Map.copyOf(load);
    }

    /**
     * What a node knows of a kind of shared objects.
     *
     * @param newestChange the revision of the newest change that it knows
     * @param answeredMillis when the node said this, the time since its newest call was asked that the platform has
     *     answered, ms; empty before the first
     */
    record Known(long newestChange, OptionalLong answeredMillis) {
        private static Known read(MessageUnpacker in) throws IOException {
            long newestChange = in.unpackLong();
            return new Known(newestChange, in.tryUnpackNil() ? OptionalLong.empty() : OptionalLong.of(in.unpackLong()));
        }

        private void write(MessagePacker out) throws IOException {
            out.packLong(newestChange);
            if (answeredMillis.isPresent()) {
                out.packLong(answeredMillis.getAsLong());
            } else {
                out.packNil();
            }
        }
    }

    /** The same state with another age, and with or without the addresses. */
    NodeState told(Optional<NodeIdentity> addresses, long age) {
        return new NodeState(name, addresses, age, ready, reachesStores, reachesPlatform, known, load);
    }

    /** Whether another state says the same, but for how long ago. */
    boolean saysTheSame(NodeState other) {
        return ready == other.ready
                && reachesStores == other.reachesStores
                && reachesPlatform == other.reachesPlatform
                && load.equals(other.load)
                && newestChanges().equals(other.newestChanges());
    }

    private Map<ObjectKind, Long> newestChanges() {
        return known.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().newestChange()));
    }

    void write(MessagePacker out) throws IOException {
        out.packString(name).packBoolean(identity.isPresent());
        if (identity.isPresent()) {
            NodeIdentity known = identity.get();
            out.packString(known.zone()).packString(known.callers()).packString(known.link());
        }
        out.packLong(ageMillis).packBoolean(ready).packBoolean(reachesStores).packBoolean(reachesPlatform);
        out.packMapHeader(known.size());
        for (Map.Entry<ObjectKind, Known> each : known.entrySet()) {
            out.packString(each.getKey().name());
            each.getValue().write(out);
        }
        out.packMapHeader(load.size());
        for (Map.Entry<Integer, Integer> each : load.entrySet()) {
            out.packInt(each.getKey()).packInt(each.getValue());
        }
    }

    static NodeState read(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        Optional<NodeIdentity> identity = in.unpackBoolean()
                ? Optional.of(new NodeIdentity(name, in.unpackString(), in.unpackString(), in.unpackString()))
                : Optional.empty();
        long age = in.unpackLong();
        boolean ready = in.unpackBoolean();
        boolean reachesStores = in.unpackBoolean();
        boolean reachesPlatform = in.unpackBoolean();
        Map<ObjectKind, Known> known = new EnumMap<>(ObjectKind.class);
        int kinds = in.unpackMapHeader();
        for (int i = 0; i < kinds; i++) {
            known.put(ObjectKind.valueOf(in.unpackString()), Known.read(in));
        }
        Map<Integer, Integer> load = new HashMap<>();
        int runners = in.unpackMapHeader();
        for (int i = 0; i < runners; i++) {
            load.merge(in.unpackInt(), in.unpackInt(), Integer::sum);
        }
        return new NodeState(name, identity, age, ready, reachesStores, reachesPlatform, known, load);
    }
}
