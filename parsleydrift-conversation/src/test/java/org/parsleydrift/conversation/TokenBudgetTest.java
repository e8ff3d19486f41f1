package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The token budget of a program over nodes that begin its turns at the same time. */
public class TokenBudgetTest {
    private static final int MOST = 100;

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 40).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /**
     * Symptom: a program generates more than its budget. Events: sub-agents begin turns at several nodes at once, and
     * frames to the store VMs arrive in any order and some late. Cause: three reservations that each meet just one other
     * (a sees 1 and 3, b 1 and 2, c 2 and 3) pass when each is judged on the replies to its write.
     */
    @Test(dataProvider = "seeds")
    public void turnsThatBeginTogetherNeverPassTheBudget(int seed) {
        StoreCluster cluster = StoreCluster.ofThree();
        Random random = new Random(seed);
        int budget = MOST * (1 + random.nextInt(3));
        List<Conversations> entries =
                IntStream.range(0, 5).mapToObj(i -> cluster.entry("e" + i)).toList();
        cluster.run(Duration.ofMillis(200));
        cluster.hold(frame -> random.nextInt(3) == 0);
        List<CompletableFuture<BeginResult>> begun = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            begun.add(entries.get(i).begin(StoreCluster.begin("p", "r" + i, budget, MOST, "")));
            cluster.run(Duration.ofNanos(random.nextInt(1_500_000)));
        }
        cluster.letGo();
        long granted = begun.stream()
                .map(cluster::await)
                .filter(BeginResult.Granted.class::isInstance)
                .count();
        assertTrue(granted * MOST <= budget, granted + " granted of " + budget);
    }

    /** Tokens of a turn that never ran are given back, else honest programs see a false "spent". */
    @Test
    public void aReleasedReservationCountsNothing() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.begin("p", "r1", MOST, MOST, "")));
        entry.release("p", "r1", StoreCluster.RETENTION);
        cluster.run(Duration.ofMillis(50));
        BeginResult second = cluster.await(entry.begin(StoreCluster.begin("p", "r2", MOST, MOST, "")));
        assertTrue(second instanceof BeginResult.Granted, second.toString());
    }

    /** A turn that broke off counts at its most; one that ended whole counts what it generated. */
    @Test
    public void brokenOffTurnsCountAtTheirMost() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.begin("p", "r1", 2 * MOST, MOST, "")));
        cluster.await(entry.begin(StoreCluster.begin("p", "r2", 2 * MOST, MOST, "")));
        BeginResult third = cluster.await(entry.begin(StoreCluster.begin("p", "r3", 2 * MOST, MOST, "")));
        assertEquals(third, new BeginResult.BudgetSpent(2 * MOST, 0));
        cluster.await(entry.commit(
                Optional.of(new Grant("p", "r1", GrantState.SETTLED, 30, "x")),
                Optional.empty(),
                StoreCluster.RETENTION,
                Duration.ofSeconds(1)));
        assertEquals(
                cluster.await(entry.begin(StoreCluster.begin("p", "r4", 2 * MOST, MOST, ""))),
                new BeginResult.BudgetSpent(MOST + 30, 30));
        BeginResult small = cluster.await(entry.begin(StoreCluster.begin("p", "r5", 2 * MOST, 70, "")));
        assertTrue(small instanceof BeginResult.Granted, small.toString());
    }

    /**
     * Symptom: store VMs are kept busy by programs whose budget is spent. Cause: each refusal costs a write, a read and
     * a release. Once settled tokens alone leave no room, a node that has read so refuses by itself.
     */
    @Test
    public void aProgramThatIsSurelySpentCostsNoRequest() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.begin("p", "r1", MOST, MOST, "")));
        cluster.await(entry.commit(
                Optional.of(new Grant("p", "r1", GrantState.SETTLED, 90, "x")),
                Optional.empty(),
                StoreCluster.RETENTION,
                Duration.ofSeconds(1)));
        cluster.await(entry.begin(StoreCluster.begin("p", "r2", MOST, MOST, "")));
        List.of("a", "b", "c").forEach(cluster::cut);
        assertTrue(entry.begin(StoreCluster.begin("p", "r3", MOST, MOST, "")).isDone());
        assertTrue(!entry.begin(StoreCluster.begin("p", "r4", MOST, 10, "")).isDone());
    }

    /** The ledger survives a loss of power and an emptied disk. */
    @Test
    public void spentStaysSpentOverRestarts() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.begin("p", "r1", MOST, MOST, "")));
        List.of("a", "b", "c").forEach(name -> cluster.stores.get(name).die());
        cluster.wipe("a");
        List.of("b", "c").forEach(cluster::restart);
        cluster.run(Duration.ofSeconds(4));
        assertEquals(
                cluster.await(cluster.entry("f").begin(StoreCluster.begin("p", "r2", MOST, MOST, ""))),
                new BeginResult.BudgetSpent(MOST, 0));
    }
}
