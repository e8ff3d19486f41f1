package org.parsleydrift.node.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Consistent-hash ring that assigns watchers to nodes: each node sends its heartbeats to its successors on the ring, so
 * the cost per node does not grow with the cluster. Hashing spreads the watchers of a node over the availability zones,
 * so that some survive the failure of a zone.
 */
final class HeartbeatRing {
    private static final int WATCHERS_PER_NODE = 8;

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

    List<NodeRecord> watchers(String incarnation) {
        return neighbours(incarnation, 1);
    }

    List<NodeRecord> watched(String incarnation) {
        return neighbours(incarnation, -1);
    }

    private List<NodeRecord> neighbours(String incarnation, int direction) {
        int size = ring.size();
        int position = IntStream.range(0, size)
                .filter(i -> ring.get(i).incarnation().equals(incarnation))
                .findFirst()
                .orElse(0);
        return IntStream.rangeClosed(1, Math.min(WATCHERS_PER_NODE, size - 1))
                .mapToObj(i -> ring.get(Math.floorMod(position + direction * i, size)))
                .toList();
    }
}
