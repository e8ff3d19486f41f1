package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.registry.ObjectKind;
import org.testng.annotations.Test;

/** Polling and membership in large store sets. */
public class StoreSetAtScaleTest {
    private static final int MEMBERS = 12;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final int MAX_FRAMES_PER_VM_SECOND = 20;

    private static StoreCluster ofTwelve() {
        StoreCluster cluster = StoreCluster.of(IntStream.range(0, MEMBERS)
                .mapToObj(each -> String.format("s%02d", each))
                .toList());
        cluster.run(SETTLE_TIME);
        assertEquals(members(cluster, "s03").size(), MEMBERS);
        return cluster;
    }

    private static List<String> members(StoreCluster cluster, String vm) {
        return cluster.stores.get(vm).replica.set().orElseThrow().members().stream()
                .map(StoreMember::name)
                .collect(Collectors.toList());
    }

    /** Guards against polling between all pairs of members, whose cost grows with the square of the set size. */
    @Test
    public void idleSetSendsFewFrames() {
        StoreCluster cluster = ofTwelve();
        int before = cluster.sentFrames();
        cluster.run(SETTLE_TIME);
        long limit = MAX_FRAMES_PER_VM_SECOND * MEMBERS * SETTLE_TIME.toSeconds();
        int sent = cluster.sentFrames() - before;
        assertTrue(sent <= limit, sent + " frames sent, limit " + limit);
    }

    /** Guards against a failure that goes undetected because the members that poll all others have failed too. */
    @Test
    public void detectsFailuresAfterFirstMembersFailed() {
        StoreCluster cluster = ofTwelve();
        List.of("s00", "s01", "s07").forEach(name -> cluster.stores.get(name).stop());
        cluster.run(Duration.ofSeconds(6));
        List<String> left = members(cluster, "s05");
        assertTrue(left.stream().noneMatch(List.of("s00", "s01", "s07")::contains), left.toString());
        assertEquals(left.size(), MEMBERS - 3);
    }

    /** Guards against a new coordinator that takes members for unresponsive because it did not poll them before. */
    @Test
    public void unpolledMemberIsNotRemoved() {
        StoreCluster cluster = ofTwelve();
        cluster.stores.get("s00").stop();
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "s05").size(), MEMBERS - 1);
    }

    /** Guards against losing a turn when two members are partitioned and two others lose their disks afterwards. */
    @Test
    public void turnsSurviveTwoDiskLossesAfterPartition() {
        StoreCluster cluster = StoreCluster.of(List.of("a", "b", "c", "d", "e"), 2);
        Conversations entry = cluster.entry("x");
        List.of("d", "e").forEach(cluster::partition);
        cluster.run(Duration.ofSeconds(4));
        cluster.commitTurn(entry, "t1", "", "one", "x\n");
        assertEquals(members(cluster, "a").size(), 5);
        List.of("d", "e").forEach(cluster::heal);
        cluster.run(Duration.ofSeconds(4));
        List.of("a", "b").forEach(cluster::wipe);
        cluster.run(Duration.ofSeconds(6));
        BeginResult result = cluster.await(entry.begin(StoreCluster.beginRequest("p", "t2", 1000, 10, "t1")));
        assertTrue(result instanceof BeginResult.Granted, result.toString());
    }

    /** Guards against retirements that leave no more copies than the tolerated losses. */
    @Test
    public void retirementsLeaveMoreMembersThanToleratedLosses() {
        StoreCluster cluster = StoreCluster.of(List.of("a", "b", "c", "d", "e"), 2);
        List.of("a", "b", "c")
                .forEach(name -> cluster.objects.write(ObjectKind.RETIREMENTS, name, new byte[] {'{', '}'}));
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "e").size(), 3);
    }

    /** Guards against a removed member that never learns of the newer set and therefore does not rejoin. */
    @Test
    public void removedMemberRejoins() {
        StoreCluster cluster = ofTwelve();
        cluster.partition("s09");
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "s05").size(), MEMBERS - 1);
        cluster.heal("s09");
        cluster.run(Duration.ofSeconds(4));
        assertEquals(members(cluster, "s05").size(), MEMBERS);
    }

    /** Guards against more watchers of the shared object than needed, and against having none after failures. */
    @Test
    public void twoMembersWatch() {
        StoreCluster cluster = ofTwelve();
        assertEquals(watcherCount(cluster), 2);
        List.of("s00", "s01").forEach(name -> cluster.stores.get(name).stop());
        cluster.run(Duration.ofSeconds(6));
        List.of("s00", "s01").forEach(cluster.stores::remove);
        assertEquals(watcherCount(cluster), 2);
    }

    private static long watcherCount(StoreCluster cluster) {
        return cluster.stores.values().stream().filter(each -> each.isWatcher).count();
    }
}
