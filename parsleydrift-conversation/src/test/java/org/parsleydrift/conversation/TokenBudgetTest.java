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

/** Enforcement of a program's token budget across entry nodes. */
public class TokenBudgetTest {
    private static final int MAX_TOKENS = 100;

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 40).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /** Guards against exceeding the budget by turns that begin concurrently on several nodes, with delayed frames. */
    @Test(dataProvider = "seeds")
    public void concurrentTurnsStayWithinBudget(int seed) {
        StoreCluster cluster = StoreCluster.ofThree();
        Random random = new Random(seed);
        int budget = MAX_TOKENS * (1 + random.nextInt(3));
        List<Conversations> entries =
                IntStream.range(0, 5).mapToObj(i -> cluster.entry("e" + i)).toList();
        cluster.run(Duration.ofMillis(200));
        cluster.delayFrames(frame -> random.nextInt(3) == 0);
        List<CompletableFuture<BeginResult>> begun = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            begun.add(entries.get(i).begin(StoreCluster.beginRequest("p", "r" + i, budget, MAX_TOKENS, "")));
            cluster.run(Duration.ofNanos(random.nextInt(1_500_000)));
        }
        cluster.releaseFrames();
        long granted = begun.stream()
                .map(cluster::await)
                .filter(BeginResult.Granted.class::isInstance)
                .count();
        assertTrue(granted * MAX_TOKENS <= budget, granted + " turns granted with a budget of " + budget);
    }

    /** Guards against counting the tokens of a turn that never ran. */
    @Test
    public void releasedReservationDoesNotCount() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r1", MAX_TOKENS, MAX_TOKENS, "")));
        entry.release("p", "r1", StoreCluster.RETENTION);
        cluster.run(Duration.ofMillis(50));
        BeginResult second =
                cluster.await(entry.begin(StoreCluster.beginRequest("p", "r2", MAX_TOKENS, MAX_TOKENS, "")));
        assertTrue(second instanceof BeginResult.Granted, second.toString());
    }

    /** Guards against counting an interrupted turn below its maximum, or a settled one above its generated tokens. */
    @Test
    public void interruptedTurnsCountWithMaximum() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r1", 2 * MAX_TOKENS, MAX_TOKENS, "")));
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r2", 2 * MAX_TOKENS, MAX_TOKENS, "")));
        BeginResult third =
                cluster.await(entry.begin(StoreCluster.beginRequest("p", "r3", 2 * MAX_TOKENS, MAX_TOKENS, "")));
        assertEquals(third, new BeginResult.BudgetSpent(2 * MAX_TOKENS, 0));
        cluster.await(entry.commit(
                Optional.of(new Grant("p", "r1", GrantState.SETTLED, 30, "x")),
                Optional.empty(),
                StoreCluster.RETENTION,
                Duration.ofSeconds(1)));
        assertEquals(
                cluster.await(entry.begin(StoreCluster.beginRequest("p", "r4", 2 * MAX_TOKENS, MAX_TOKENS, ""))),
                new BeginResult.BudgetSpent(MAX_TOKENS + 30, 30));
        BeginResult small = cluster.await(entry.begin(StoreCluster.beginRequest("p", "r5", 2 * MAX_TOKENS, 70, "")));
        assertTrue(small instanceof BeginResult.Granted, small.toString());
    }

    /** Guards against requests to the store VMs for programs whose settled tokens already use up the budget. */
    @Test
    public void spentProgramIsRefusedWithoutRequests() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r1", MAX_TOKENS, MAX_TOKENS, "")));
        cluster.await(entry.commit(
                Optional.of(new Grant("p", "r1", GrantState.SETTLED, 90, "x")),
                Optional.empty(),
                StoreCluster.RETENTION,
                Duration.ofSeconds(1)));
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r2", MAX_TOKENS, MAX_TOKENS, "")));
        List.of("a", "b", "c").forEach(cluster::partition);
        assertTrue(entry.begin(StoreCluster.beginRequest("p", "r3", MAX_TOKENS, MAX_TOKENS, ""))
                .isDone());
        assertTrue(!entry.begin(StoreCluster.beginRequest("p", "r4", MAX_TOKENS, 10, ""))
                .isDone());
    }

    /** Guards against losing reservations in a power failure combined with the loss of one disk. */
    @Test
    public void reservationsSurviveRestarts() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.await(entry.begin(StoreCluster.beginRequest("p", "r1", MAX_TOKENS, MAX_TOKENS, "")));
        List.of("a", "b", "c").forEach(name -> cluster.stores.get(name).stop());
        cluster.wipe("a");
        List.of("b", "c").forEach(cluster::restart);
        cluster.run(Duration.ofSeconds(4));
        assertEquals(
                cluster.await(
                        cluster.entry("f").begin(StoreCluster.beginRequest("p", "r2", MAX_TOKENS, MAX_TOKENS, ""))),
                new BeginResult.BudgetSpent(MAX_TOKENS, 0));
    }
}
