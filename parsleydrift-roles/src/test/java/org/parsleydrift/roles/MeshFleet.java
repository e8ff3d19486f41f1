package org.parsleydrift.roles;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.standin.InMemorySharedObjects;

/** Entry nodes in three zones that watch one platform, on virtual time. */
final class MeshFleet {
    /** Time within which every node must know a change after the platform has acknowledged it. */
    static final Duration MAX_CHANGE_DELAY = Duration.ofSeconds(2);

    private static final int NODES = 7;
    private static final int ZONES = 3;

    final ManualScheduler time = new ManualScheduler();
    final InMemorySharedObjects platform = new InMemorySharedObjects(time.newLoop(), Duration.ofMillis(4));
    final Map<String, MeshMember> members = new TreeMap<>();

    MeshFleet(long seed) {
        this(seed, NODES);
    }

    MeshFleet(long seed, int nodes) {
        IntStream.range(0, nodes).forEach(number -> add(number, seed * NODES + number));
        introduceAll();
        time.advance(Duration.ofSeconds(3));
    }

    /** Introduces all nodes to each other. */
    void introduceAll() {
        members.values().forEach(each -> members.values().forEach(other -> each.mesh.addPeer(other.identity)));
    }

    void add(int number, long seed) {
        add(number, seed, platform);
    }

    void add(int number, long seed, SharedObjects objects) {
        String name = "n%02d".formatted(number);
        members.put(name, new MeshMember(time, members, name, "z" + number % ZONES, objects, seed));
    }

    void change(ObjectKind kind, int times, Duration pause) {
        IntStream.range(0, times).forEach(change -> {
            time.advance(pause);
            platform.write(kind, "main", new byte[] {1});
        });
    }

    /** Returns the number of frames that all nodes send within a time span. */
    long countFrames(Duration span) {
        long before =
                members.values().stream().mapToLong(each -> each.sentFrames).sum();
        time.advance(span);
        return members.values().stream().mapToLong(each -> each.sentFrames).sum() - before;
    }

    boolean isAnyNodeLate(ObjectKind kind) {
        time.advance(MAX_CHANGE_DELAY);
        return members.values().stream()
                .filter(each -> !each.disconnected)
                .anyMatch(each -> each.latestRevisions.get(kind) < platform.revision());
    }
}
