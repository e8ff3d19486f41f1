package org.parsleydrift.conversation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Chains whose texts are larger than a frame between processes. */
public class LongChainTest {
    private static final int TURN_BYTES = 900_000;
    private static final int TURNS = 7;
    /** Size of a frame above which it holds back others, bytes. */
    private static final int LARGE_FRAME_BYTES = TURN_BYTES + ReplicaRequest.PAGE_BYTES;

    private StoreCluster cluster;
    private Conversations entry;

    @BeforeMethod
    public void start() {
        cluster = StoreCluster.ofThree();
        entry = cluster.entry("e");
        cluster.run(Duration.ofMillis(200));
    }

    private static String text(int turn, int bytes) {
        return (char) ('a' + turn % 26) + "x".repeat(bytes - 1);
    }

    private BeginResult begin(Conversations at, String id, String previous) {
        return cluster.await(at.begin(StoreCluster.beginRequest("p", id, 100_000, 10, previous)));
    }

    /** Runs and commits turns of one chain with IDs t0, t1, ... */
    private void commitChain(int turns, int turnBytes) {
        IntStream.range(0, turns).forEach(each -> {
            String previous = each == 0 ? "" : "t" + (each - 1);
            BeginResult begun = begin(entry, "t" + each, previous);
            assertTrue(begun instanceof BeginResult.Granted, "turn " + each + ": " + begun);
            ((BeginResult.Granted) begun).chainMemory().release();
            cluster.commitTurn(entry, "t" + each, previous, text(each, turnBytes), "out" + each);
        });
    }

    private static void assertChain(BeginResult begun, int turns, int turnBytes) {
        assertTrue(begun instanceof BeginResult.Granted, begun.toString());
        List<Turn> chain = ((BeginResult.Granted) begun).chain();
        assertEquals(
                chain.stream().map(Turn::id).toList(),
                IntStream.range(0, turns).mapToObj(each -> "t" + each).toList());
        IntStream.range(0, turns)
                .forEach(each -> assertEquals(
                        new String(chain.get(each).input(), UTF_8), text(each, turnBytes), "turn " + each));
    }

    /** Guards against a conversation that cannot be continued once its texts exceed a frame. */
    @Test
    public void chainLargerThanAFrameIsContinued() {
        commitChain(TURNS, TURN_BYTES);
        assertChain(begin(entry, "next", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
    }

    /** Guards against replies that grow with the length of the chain, for which those to other requests wait. */
    @Test
    public void noFrameGrowsWithTheChain() {
        commitChain(TURNS, TURN_BYTES);
        AtomicInteger largest = new AtomicInteger();
        AtomicLong bytes = new AtomicLong();
        cluster.delayFrames(frame -> {
            largest.accumulateAndGet(frame.bytes().length, Math::max);
            bytes.addAndGet(frame.bytes().length);
            return false;
        });
        assertChain(begin(entry, "next", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
        assertTrue(largest.get() < LARGE_FRAME_BYTES, "largest frame: " + largest);
        assertTrue(bytes.get() < (TURNS + 1L) * TURN_BYTES, "texts were sent more than once: " + bytes + " bytes");
    }

    /** Guards against pages of many small turns that are read in a wrong order, twice, or not at all. */
    @Test
    public void chainOfManyTurnsIsReadInPages() {
        int turns = 490;
        int turnBytes = 4000;
        commitChain(turns, turnBytes);
        assertChain(begin(entry, "next", "t" + (turns - 1)), turns, turnBytes);
    }

    /** The members of which one fails while a chain is read. */
    @DataProvider
    public static Object[][] members() {
        return new Object[][] {{"a"}, {"b"}, {"c"}};
    }

    /** Guards against a chain that is lost when the member that sends its pages fails in between. */
    @Test(dataProvider = "members")
    public void chainIsReadFromOtherMembersAfterAFailure(String failing) {
        commitChain(TURNS, TURN_BYTES);
        AtomicInteger pages = new AtomicInteger();
        cluster.delayFrames(frame -> {
            if (frame.from().equals(failing) && frame.bytes().length > TURN_BYTES && pages.incrementAndGet() == 3) {
                cluster.partition(failing);
            }
            return false;
        });
        assertChain(begin(entry, "next", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
    }

    /** Guards against a chain whose nearest member has missed some of its turns. */
    @Test(dataProvider = "members")
    public void turnsMissingAtAMemberAreReadFromOthers(String lacking) {
        commitChain(2, TURN_BYTES);
        cluster.partition(lacking);
        commitTurn(2);
        commitTurn(3);
        cluster.heal(lacking);
        commitTurn(4);
        commitTurn(5);
        assertChain(begin(entry, "next", "t5"), 6, TURN_BYTES);
    }

    private void commitTurn(int turn) {
        cluster.commitTurn(entry, "t" + turn, "t" + (turn - 1), text(turn, TURN_BYTES), "out" + turn);
    }

    /** Guards against a chain that a node which is cut off from the store VMs cannot read through a peer. */
    @Test
    public void longChainIsReadThroughAPeer() {
        commitChain(TURNS, TURN_BYTES);
        Conversations cutOff = cluster.entry("f", Optional.of("e"));
        cluster.run(Duration.ofMillis(200));
        cluster.partitionFromStores("f");
        assertChain(begin(cutOff, "next", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
    }

    /** Guards against a chain that cannot be read once the store set has changed and a disk is lost. */
    @Test
    public void longChainOutlivesALostDisk() {
        commitChain(TURNS, TURN_BYTES);
        cluster.wipe("b");
        cluster.run(Duration.ofSeconds(5));
        assertChain(begin(entry, "next", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
    }

    /** Guards against turns that run and are cut, as the largest input that callers may send fits no frame. */
    @Test
    public void largestInputIsCommitted() {
        cluster.setMaxFrameBytes(16 << 20);
        int maxBodyBytes = 4 << 20;
        commitChain(3, maxBodyBytes);
        assertChain(begin(entry, "next", "t2"), 3, maxBodyBytes);
    }

    /** Guards against large turns that are sent again and again, as they need more time than a request usually takes. */
    @Test
    public void largestInputsPassSlowLinks() {
        cluster.setMaxFrameBytes(16 << 20);
        cluster.setLinkRate(6000);
        int maxBodyBytes = 4 << 20;
        commitChain(3, maxBodyBytes);
        AtomicLong bytes = new AtomicLong();
        cluster.delayFrames(frame -> {
            bytes.addAndGet(frame.bytes().length);
            return false;
        });
        assertChain(begin(entry, "next", "t2"), 3, maxBodyBytes);
        assertTrue(bytes.get() < 3.5 * maxBodyBytes, "texts were sent more than once: " + bytes + " bytes");
    }

    /** Guards against a request above the size of a frame that is sent again until the time is over. */
    @Test
    public void requestAboveTheFrameSizeFailsAtOnce() {
        long startNanos = cluster.time.nanos();
        var commit = entry.commit(
                Optional.empty(),
                Optional.of(new Turn("t0", "", new byte[5 << 20], new byte[0])),
                StoreCluster.RETENTION,
                Duration.ofSeconds(1));
        assertTrue(commit.isCompletedExceptionally());
        assertEquals(cluster.time.nanos(), startNanos);
        assertTrue(begin(entry, "other", "") instanceof BeginResult.Granted);
    }

    /** Guards against long chains that use up the memory of an entry node together, and against memory that is kept. */
    @Test
    public void chainsBeyondTheMemoryAreRejectedAsNotRun() {
        commitChain(TURNS, TURN_BYTES);
        Conversations small = cluster.entry("f", Optional.empty(), (TURNS + 2L) * TURN_BYTES);
        cluster.run(Duration.ofMillis(200));
        BeginResult first = begin(small, "next1", "t" + (TURNS - 1));
        assertChain(first, TURNS, TURN_BYTES);
        assertTrue(begin(small, "next2", "t" + (TURNS - 1)) instanceof BeginResult.Unavailable);
        BeginResult other = begin(small, "other", "");
        assertTrue(other instanceof BeginResult.Granted, "a turn without a chain: " + other);
        ((BeginResult.Granted) first).chainMemory().release();
        assertChain(begin(small, "next3", "t" + (TURNS - 1)), TURNS, TURN_BYTES);
    }

    /** Guards against a failure to read one chain that rejects the turns of all programs. */
    @Test
    public void unreadableChainRejectsNoOtherTurns() {
        commitChain(TURNS, TURN_BYTES);
        cluster.delayFrames(frame -> frame.bytes().length > TURN_BYTES);
        BeginResult unreadable = begin(entry, "next", "t" + (TURNS - 1));
        assertFalse(unreadable instanceof BeginResult.Granted, unreadable.toString());
        assertTrue(begin(entry, "other", "") instanceof BeginResult.Granted);
    }
}
