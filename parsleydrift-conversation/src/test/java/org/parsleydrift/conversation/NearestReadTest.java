package org.parsleydrift.conversation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Selection of the store VMs that are read at the beginning of a turn. */
public class NearestReadTest {
    private static final int LONG_TEXT = 4000;

    private static BeginResult begin(StoreCluster cluster, Conversations entry, String request, String previous) {
        return cluster.await(entry.begin(StoreCluster.beginRequest("p", request, 1000, 10, previous)));
    }

    private static String chainText(BeginResult result) {
        assertTrue(result instanceof BeginResult.Granted, result.toString());
        return ((BeginResult.Granted) result)
                .chain().stream().map(turn -> new String(turn.input(), UTF_8)).reduce("", String::concat);
    }

    /** Guards against transferring the text of a chain from more than one member. */
    @Test
    public void chainTextsComeFromOneMember() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        cluster.run(Duration.ofMillis(200));
        begin(cluster, entry, "r1", "");
        cluster.commitTurn(entry, "r1", "", "x".repeat(LONG_TEXT), "");
        AtomicInteger longFrames = new AtomicInteger();
        cluster.delayFrames(frame -> {
            if (frame.to().equals("e") && frame.bytes().length > LONG_TEXT) {
                longFrames.incrementAndGet();
            }
            return false;
        });
        assertEquals(chainText(begin(cluster, entry, "r2", "r1")).length(), LONG_TEXT);
        assertEquals(longFrames.get(), 1);
    }

    /** Guards against waiting for the request timeout when one of the nearest members does not answer. */
    @Test
    public void unresponsiveMemberDelaysReadBriefly() {
        for (String unresponsive : new String[] {"a", "b", "c"}) {
            StoreCluster cluster = StoreCluster.ofThree();
            Conversations entry = cluster.entry("e");
            cluster.run(Duration.ofMillis(200));
            begin(cluster, entry, "r1", "");
            cluster.commitTurn(entry, "r1", "", "said", "");
            cluster.partition(unresponsive);
            long startNanos = cluster.time.nanos();
            assertEquals(chainText(begin(cluster, entry, "r2", "r1")), "said");
            assertTrue(
                    cluster.time.nanos() - startNanos < Duration.ofMillis(40).toNanos(),
                    "unresponsive member " + unresponsive);
        }
    }

    /** Guards against denying a committed turn that the nearest member does not hold. */
    @Test
    public void turnMissingOnNearestMemberIsFound() {
        for (String lacking : new String[] {"a", "b", "c"}) {
            StoreCluster cluster = StoreCluster.ofThree();
            Conversations entry = cluster.entry("e");
            cluster.run(Duration.ofMillis(200));
            begin(cluster, entry, "r1", "");
            cluster.delayFrames(
                    frame -> frame.to().equals(lacking) && frame.from().equals("e"));
            cluster.commitTurn(entry, "r1", "", "said", "");
            cluster.delayFrames(frame -> false);
            assertEquals(chainText(begin(cluster, entry, "r2", "r1")), "said", "member without the turn: " + lacking);
            BeginResult unknown = begin(cluster, entry, "r3", "never");
            assertTrue(unknown instanceof BeginResult.NoSuchTurn, unknown.toString());
        }
    }

    /** Guards against concurrent reservations that miss each other because each read asks the nearest member only. */
    @Test
    public void grantsAreReadFromQuorum() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations first = cluster.entry("e1");
        Conversations second = cluster.entry("e2");
        cluster.run(Duration.ofMillis(200));
        CompletableFuture<BeginResult> one = first.begin(StoreCluster.beginRequest("p", "r1", 10, 10, ""));
        CompletableFuture<BeginResult> two = second.begin(StoreCluster.beginRequest("p", "r2", 10, 10, ""));
        boolean both =
                cluster.await(one) instanceof BeginResult.Granted && cluster.await(two) instanceof BeginResult.Granted;
        assertTrue(!both, "both turns were granted, but the budget covers only one");
    }
}
