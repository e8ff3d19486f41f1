package org.parsleydrift.roles;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.Test;

/** Status traffic in the largest supported fleet. */
public class MeshTrafficTest {
    private static final int NODES = 360;
    private static final int ZONES = 21;
    /** Maximum status traffic received by a node, bytes/s. */
    private static final long MAX_BYTES_PER_SECOND = 21_000;

    /** Guards against status traffic that grows with the number of nodes in an idle fleet. */
    @Test
    public void trafficOfAnIdleFleetIsBounded() {
        ManualScheduler time = new ManualScheduler();
        Map<String, MeshMember> members = new TreeMap<>();
        IntStream.range(0, NODES).forEach(number -> {
            String name = "z%02d-%02d".formatted(number % ZONES, number / ZONES);
            members.put(name, new MeshMember(time, members, name, "z%02d".formatted(number % ZONES)));
        });
        members.values().forEach(each -> members.values().forEach(other -> each.mesh.addPeer(other.identity)));
        time.advance(Duration.ofSeconds(3));
        members.values().forEach(each -> each.receivedBytes = 0);
        Duration span = Duration.ofSeconds(4);
        time.advance(span);
        long median = members.values().stream()
                .mapToLong(each -> each.receivedBytes / span.toSeconds())
                .sorted()
                .skip(NODES / 2)
                .findFirst()
                .orElseThrow();
        assertTrue(median <= MAX_BYTES_PER_SECOND, median + " bytes/s");
        members.values().forEach(each -> assertTrue(each.mesh.hasDirectPeers()));
    }
}
