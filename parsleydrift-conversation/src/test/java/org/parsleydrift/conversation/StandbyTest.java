package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.registry.ObjectKind;
import org.testng.annotations.Test;

/** Standby store VMs, which replace lost members of the set. */
public class StandbyTest {
    private static final int TOLERATED_LOSSES = 2;
    private static final int TARGET_SIZE = 2 * TOLERATED_LOSSES + 1;
    /** Time within which a lost member is replaced by a complete one. */
    private static final Duration REPLACEMENT_TIME = Duration.ofSeconds(3);

    /** Time after which silent members count as gone. */
    private static final Duration STANDSTILL = Duration.ofSeconds(12);

    private static final int SEEDS = 40;
    private static final int STEPS = 4;

    private static StoreCluster ofNine() {
        return StoreCluster.withStandbys(
                IntStream.range(0, 9).mapToObj(each -> "s" + each).toList(), TOLERATED_LOSSES);
    }

    private static StoreSet newest(StoreCluster cluster) {
        return cluster.stores.values().stream()
                .flatMap(each -> each.replica.set().stream())
                .max((one, other) -> Long.compare(one.epoch(), other.epoch()))
                .orElseThrow();
    }

    private static List<String> members(StoreCluster cluster) {
        return newest(cluster).members().stream().map(StoreMember::name).collect(Collectors.toList());
    }

    private static long completeMembers(StoreCluster cluster) {
        StoreSet set = newest(cluster);
        return set.members().stream()
                .map(each -> cluster.stores.get(each.name()).replica)
                .filter(each -> set.memberByDiskId(each.diskId()).isPresent() && each.isComplete())
                .count();
    }

    @Test
    public void setHasTargetSize() {
        StoreCluster cluster = ofNine();
        assertEquals(members(cluster).size(), TARGET_SIZE);
        assertEquals(completeMembers(cluster), TARGET_SIZE);
    }

    /** Guards against a set that, after successive replacements, no longer tolerates the loss of two disks. */
    @Test
    public void toleratesTwoDiskLossesAfterReplacements() {
        StoreCluster cluster = ofNine();
        Conversations entry = cluster.entry("x");
        cluster.commitTurn(entry, "t1", "", "one", "x\n");
        List<String> first = members(cluster);
        cluster.stores.get(first.get(0)).stop();
        cluster.partition(first.get(1));
        cluster.run(REPLACEMENT_TIME);
        assertEquals(completeMembers(cluster), TARGET_SIZE, members(cluster).toString());
        cluster.heal(first.get(1));
        List<String> second = members(cluster);
        cluster.stores.get(second.get(0)).stop();
        cluster.run(REPLACEMENT_TIME);
        assertEquals(completeMembers(cluster), TARGET_SIZE, members(cluster).toString());
        List<String> last = members(cluster);
        failPowerAndWipe(cluster, last.subList(0, TOLERATED_LOSSES));
        cluster.run(Duration.ofSeconds(4));
        BeginResult result = cluster.await(entry.begin(StoreCluster.beginRequest("p", "t2", 1000, 10, "t1")));
        assertTrue(result instanceof BeginResult.Granted, result.toString());
    }

    private static void failPowerAndWipe(StoreCluster cluster, List<String> wiped) {
        List<String> running = cluster.stores.values().stream()
                .filter(each -> each.isAlive)
                .map(each -> each.name)
                .toList();
        running.forEach(each -> cluster.stores.get(each).stop());
        cluster.run(Duration.ofSeconds(1));
        running.forEach(each -> {
            if (wiped.contains(each)) {
                cluster.wipe(each);
            } else {
                cluster.restart(each);
            }
        });
    }

    /**
     * Guards against the loss of committed turns when members are partitioned, replaced, wiped or retired in any order and a
     * power failure then destroys the tolerated number of disks.
     */
    @Test
    public void keepsTurnsInAnyOrderOfFailures() {
        IntStream.range(0, SEEDS).forEach(StandbyTest::runFailures);
    }

    private static void runFailures(int seed) {
        Random random = new Random(seed);
        StoreCluster cluster = ofNine();
        Conversations entry = cluster.entry("x");
        List<String> steps = new ArrayList<>();
        String previous = "";
        for (int step = 0; step < STEPS; step++) {
            String turn = "t" + step;
            cluster.commitTurn(entry, turn, previous, "in", "out\n");
            previous = turn;
            String name = members(cluster).get(random.nextInt(TARGET_SIZE));
            steps.add(injectFailure(cluster, name, random.nextInt(4), step));
            cluster.run(REPLACEMENT_TIME.plusSeconds(random.nextInt(3)));
            assertEquals(completeMembers(cluster), TARGET_SIZE, "seed " + seed + ": " + steps + " " + members(cluster));
        }
        List<String> all = members(cluster);
        Collections.shuffle(all, random);
        failPowerAndWipe(cluster, all.subList(0, TOLERATED_LOSSES));
        cluster.run(Duration.ofSeconds(5));
        BeginResult result = cluster.await(entry.begin(StoreCluster.beginRequest("p", "last", 1000, 10, previous)));
        assertTrue(result instanceof BeginResult.Granted, "seed " + seed + ": " + steps + " " + result);
    }

    private static String injectFailure(StoreCluster cluster, String name, int kind, int step) {
        return switch (kind) {
            case 0 -> {
                cluster.partition(name);
                cluster.run(Duration.ofSeconds(2));
                cluster.heal(name);
                yield name + " was partitioned";
            }
            case 1 -> {
                cluster.stores.get(name).stop();
                cluster.add("new" + step, false);
                yield name + " was replaced";
            }
            case 2 -> {
                cluster.wipe(name);
                yield name + " lost its disk";
            }
            default -> {
                cluster.objects.write(ObjectKind.RETIREMENTS, name, new byte[] {'{', '}'});
                yield name + " was retired";
            }
        };
    }

    /** Guards against members that are replaced although only the standby that replaces them stood still. */
    @Test
    public void standbyThatStoodStillReplacesNobody() {
        StoreCluster cluster = ofNine();
        List<String> members = members(cluster);
        List<StoreCluster.Store> standbys = cluster.stores.values().stream()
                .filter(each -> !members.contains(each.name))
                .toList();
        standbys.forEach(each -> each.loop.pause());
        cluster.run(STANDSTILL);
        standbys.forEach(each -> each.loop.resume());
        cluster.run(REPLACEMENT_TIME);
        assertEquals(members(cluster), members);
    }

    /** Guards against members that are removed or replaced although all store VMs stood still together. */
    @Test
    public void setIsUnchangedAfterAllStoreVmsStoodStill() {
        StoreCluster cluster = ofNine();
        StoreSet set = newest(cluster);
        cluster.stores.values().forEach(each -> each.loop.pause());
        cluster.run(STANDSTILL);
        cluster.stores.values().forEach(each -> each.loop.resume());
        cluster.run(REPLACEMENT_TIME);
        assertEquals(newest(cluster), set);
    }
}
