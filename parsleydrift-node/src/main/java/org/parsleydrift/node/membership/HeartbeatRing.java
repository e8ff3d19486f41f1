package org.parsleydrift.node.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Who watches whom: nodes stand on a ring by the hash of their name, and each is watched by the next few. The cost of
 * heartbeats for a node so stays the same however large the fleet is; up to nine nodes everybody watches everybody. The
 * hash spreads neighbours over zones, so that a zone that goes down leaves watchers elsewhere.
 */
final class HeartbeatRing {
    private static final int WATCHERS = 8;

    private final List<NodeRecord> ring;

    private HeartbeatRing(List<NodeRecord> ring) {
        this.ring = ring;
    }

    static HeartbeatRing of(NodeRecord self, List<NodeRecord> others) {
        LongHashFunction hash = LongHashFunction.xx3();
        List<NodeRecord> ring = new ArrayList<>(
                Stream.concat(Stream.of(self), others.stream()).distinct().toList());
        ring.sort(Comparator.comparingLong((NodeRecord record) -> hash.hashChars(record.incarnation()))
                .thenComparing(NodeRecord::incarnation));
        return new HeartbeatRing(ring);
    }

    /** The nodes that watch a node. */
    List<NodeRecord> watchers(String incarnation) {
        return neighbours(incarnation, 1);
    }

    /** The nodes that a node watches. */
    List<NodeRecord> watched(String incarnation) {
        return neighbours(incarnation, -1);
    }

    private List<NodeRecord> neighbours(String incarnation, int direction) {
        int size = ring.size();
        int place = IntStream.range(0, size)
                .filter(i -> ring.get(i).incarnation().equals(incarnation))
                .findFirst()
                .orElse(0);
        return IntStream.rangeClosed(1, Math.min(WATCHERS, size - 1))
                .mapToObj(i -> ring.get(Math.floorMod(place + direction * i, size)))
                .toList();
    }
}
