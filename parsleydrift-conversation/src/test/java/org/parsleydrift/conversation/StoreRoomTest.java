package org.parsleydrift.conversation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Store VMs whose records fill the memory that they may use. */
public class StoreRoomTest {
    private static final int MAX_BYTES = 1_000_000;
    private static final int MAX_TOKENS = 10;
    private static final String INPUT = "x".repeat(26_000);

    private StoreCluster cluster;
    private Conversations entry;

    @BeforeMethod
    public void start() {
        cluster = StoreCluster.ofThree(MAX_BYTES);
        entry = cluster.entry("e");
        cluster.run(Duration.ofMillis(200));
    }

    private BeginResult runTurn(String program, String id, String previous) {
        BeginResult begun = cluster.await(
                entry.begin(StoreCluster.beginRequest(program, id, Integer.MAX_VALUE, MAX_TOKENS, previous)));
        if (begun instanceof BeginResult.Granted) {
            cluster.await(entry.commit(
                    Optional.of(new Grant(program, id, GrantState.SETTLED, MAX_TOKENS, "r")),
                    Optional.of(new Turn(id, previous, INPUT.getBytes(UTF_8), new byte[0])),
                    StoreCluster.RETENTION,
                    Duration.ofSeconds(1)));
        }
        return begun;
    }

    private int fill() {
        int programs = 0;
        while (runTurn("p" + programs, "t" + programs, "") instanceof BeginResult.Granted) {
            programs++;
        }
        return programs;
    }

    /** Guards against a store that accepts more than it can hold and read back. */
    @Test
    public void newProgramsAreRejectedAtOnceWhenTheStoresAreFull() {
        int programs = fill();
        assertTrue(programs >= MAX_BYTES / 30_000 && programs < MAX_BYTES / 25_000, programs + " programs");
        long before = cluster.time.nanos();
        BeginResult rejected = runTurn("late", "late", "");
        assertEquals(rejected, new BeginResult.Unavailable("no room for a new program"));
        assertTrue(cluster.time.nanos() - before < Duration.ofMillis(20).toNanos(), "the rejection took too long");
    }

    /** Guards against a program that is accepted at its next try, as the store VMs know it from its rejection. */
    @Test
    public void rejectedProgramStaysRejectedWhileTheStoresAreFull() {
        fill();
        for (int attempt = 0; attempt < 5; attempt++) {
            BeginResult rejected = runTurn("late", "late" + attempt, "");
            assertTrue(rejected instanceof BeginResult.Unavailable, "try " + attempt + ": " + rejected);
            cluster.run(Duration.ofMillis(300));
        }
    }

    /** Guards against the turns of programs that are kept, which use up the heap of the store VMs. */
    @Test
    public void furtherTurnsAreRejectedBeforeTheHeapIsUsedUp() {
        fill();
        int turns = 0;
        while (turns < 100 && runTurn("p0", "more" + turns, "t0") instanceof BeginResult.Granted) {
            turns++;
        }
        assertTrue(turns > 0 && turns < 100, turns + " turns");
        assertBytesBelow(1.4);
        assertTrue(runTurn("p0", "again", "t0") instanceof BeginResult.Unavailable);
    }

    /** Guards against results of running turns which use up the heap of the store VMs. */
    @Test
    public void resultsAreRejectedBeforeTheHeapIsUsedUp() {
        fill();
        for (int turn = 0; turn < 100; turn++) {
            CompletableFuture<Void> commit = entry.commit(
                    Optional.empty(),
                    Optional.of(new Turn("run" + turn, "t0", INPUT.getBytes(UTF_8), new byte[0])),
                    StoreCluster.RETENTION,
                    Duration.ofSeconds(1));
            cluster.await(commit.handle((done, failure) -> failure));
        }
        assertBytesBelow(1.5);
    }

    private void assertBytesBelow(double share) {
        cluster.stores.values().forEach(each -> {
            long bytes = each.replica.recordBytes();
            assertTrue(bytes < share * MAX_BYTES, each.name + ": " + bytes + " bytes");
        });
    }

    /** Guards against programs that cannot go on, as others have used up the room. */
    @Test
    public void keptProgramsGoOnWhenTheStoresAreFull() {
        fill();
        assertTrue(runTurn("p0", "next", "t0") instanceof BeginResult.Granted);
        assertTrue(runTurn("p1", "other", "t1") instanceof BeginResult.Granted);
    }

    /** Guards against a store that stays full after its records have expired, or forgets its limit in a restart. */
    @Test
    public void newProgramsAreAcceptedAgainOnceRecordsHaveExpired() {
        fill();
        cluster.restart("a");
        cluster.restart("b");
        cluster.run(Duration.ofSeconds(4));
        assertTrue(runTurn("soon", "soon", "") instanceof BeginResult.Unavailable);
        cluster.run(StoreCluster.RETENTION.multipliedBy(4));
        assertTrue(runTurn("later", "later", "") instanceof BeginResult.Granted);
    }
}
