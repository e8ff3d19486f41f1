package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.registry.ObjectKind;
import org.testng.annotations.Test;

/** Sets with many store VMs. */
public class StoreSetAtScaleTest {
    private static final int MEMBERS = 12;
    private static final Duration QUIET = Duration.ofSeconds(3);
    /** Some 50 us of processor time a frame make one ms a VM and second. */
    private static final int MOST_FRAMES_A_SECOND = 20;

    private static StoreCluster ofTwelve() {
        StoreCluster cluster = StoreCluster.of(IntStream.range(0, MEMBERS)
                .mapToObj(each -> String.format("s%02d", each))
                .toList());
        cluster.run(QUIET);
        assertEquals(members(cluster, "s03").size(), MEMBERS);
        return cluster;
    }

    private static List<String> members(StoreCluster cluster, String asked) {
        return cluster.stores.get(asked).replica.set().orElseThrow().members().stream()
                .map(StoreMember::name)
                .collect(Collectors.toList());
    }

    /**
     * Symptom: twelve store VMs that serve nothing use more processor time than the turns of a busy day. Events: none.
     * Cause: each asks each other one how far it is, several times a second, and tells it the whole set each time.
     */
    @Test
    public void aSetAtRestCostsFewFrames() {
        StoreCluster cluster = ofTwelve();
        int before = cluster.sentFrames();
        cluster.run(QUIET);
        long most = MOST_FRAMES_A_SECOND * MEMBERS * QUIET.toSeconds();
        int sent = cluster.sentFrames() - before;
        assertTrue(sent <= most, sent + " frames of " + most);
    }

    /**
     * Symptom: a VM that is gone for good stays a member. Events: the members that others rely on to notice a silent one
     * die, the first two of the set; then one of the others does. Cause: nobody asks the members any more.
     */
    @Test
    public void silentMembersAreNoticedThoughTheFirstOnesAreGone() {
        StoreCluster cluster = ofTwelve();
        List.of("s00", "s01", "s07").forEach(name -> cluster.stores.get(name).die());
        cluster.run(Duration.ofSeconds(6));
        List<String> left = members(cluster, "s05");
        assertTrue(left.stream().noneMatch(List.of("s00", "s01", "s07")::contains), left.toString());
        assertEquals(left.size(), MEMBERS - 3);
    }

    /**
     * Symptom: a member is dropped that was never silent. Events: the first member dies, so that the second asks all others,
     * whom it has not asked for seconds. Cause: the time since their last answer is taken for silence.
     */
    @Test
    public void aMemberThatWasNotAskedIsNotSilent() {
        StoreCluster cluster = ofTwelve();
        cluster.stores.get("s00").die();
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "s05").size(), MEMBERS - 1);
    }

    /**
     * Symptom: an answered turn is gone. Events: of five members, two disks of which may be lost at once, two that hold a
     * turn are cut off; they are back, and two of the others lose their disks together. Cause: the set shrank to three while
     * two were silent, or the emptied ones counted again before they had copied.
     */
    @Test
    public void aPairOfDisksLostAfterAPairWasCutOffLosesNothing() {
        StoreCluster cluster = StoreCluster.of(List.of("a", "b", "c", "d", "e"), 2);
        Conversations entry = cluster.entry("x");
        List.of("d", "e").forEach(cluster::cut);
        cluster.run(Duration.ofSeconds(4));
        cluster.keepTurn(entry, "t1", "", "one", "x\n");
        assertEquals(members(cluster, "a").size(), 5);
        List.of("d", "e").forEach(cluster::heal);
        cluster.run(Duration.ofSeconds(4));
        List.of("a", "b").forEach(cluster::wipe);
        cluster.run(Duration.ofSeconds(6));
        BeginResult result = cluster.await(entry.begin(StoreCluster.begin("p", "t2", 1000, 10, "t1")));
        assertTrue(result instanceof BeginResult.Granted, result.toString());
    }

    /** Symptom: records lie on two disks where two may be lost. Events: three of five VMs are to be emptied. */
    @Test
    public void moreMembersStayThanDisksMayBeLost() {
        StoreCluster cluster = StoreCluster.of(List.of("a", "b", "c", "d", "e"), 2);
        List.of("a", "b", "c")
                .forEach(name -> cluster.objects.write(ObjectKind.RETIREMENTS, name, new byte[] {'{', '}'}));
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "e").size(), 3);
    }

    /**
     * Symptom: a store VM stays outside the set for good. Events: one that doesn't watch the platform is cut off until it
     * is dropped, and is back. Cause: nobody tells a VM that is no member of a newer set.
     */
    @Test
    public void aMemberThatWasDroppedWhileAwayComesBack() {
        StoreCluster cluster = ofTwelve();
        cluster.cut("s09");
        cluster.run(Duration.ofSeconds(6));
        assertEquals(members(cluster, "s05").size(), MEMBERS - 1);
        cluster.heal("s09");
        cluster.run(Duration.ofSeconds(4));
        assertEquals(members(cluster, "s05").size(), MEMBERS);
    }

    /** Two members watch the platform for all; when they are gone, two others do. */
    @Test
    public void twoMembersWatch() {
        StoreCluster cluster = ofTwelve();
        assertEquals(watching(cluster), 2);
        List.of("s00", "s01").forEach(name -> cluster.stores.get(name).die());
        cluster.run(Duration.ofSeconds(6));
        List.of("s00", "s01").forEach(cluster.stores::remove);
        assertEquals(watching(cluster), 2);
    }

    private static long watching(StoreCluster cluster) {
        return cluster.stores.values().stream().filter(each -> each.watches).count();
    }
}
