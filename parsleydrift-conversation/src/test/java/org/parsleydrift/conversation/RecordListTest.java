package org.parsleydrift.conversation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Synchronization with members whose list of records is larger than a frame. */
public class RecordListTest {
    private static final int PROGRAMS = 4000;
    /** Smaller than the list of the records, bytes. */
    private static final int FRAME_BYTES = 400_000;

    private StoreCluster cluster;
    private Conversations entry;

    @BeforeMethod
    public void start() {
        cluster = StoreCluster.ofThree();
        cluster.setMaxFrameBytes(FRAME_BYTES);
        entry = cluster.entry("e");
        cluster.run(Duration.ofMillis(200));
        CompletableFuture<?>[] commits = IntStream.range(0, PROGRAMS)
                .mapToObj(each -> entry.commit(
                        Optional.of(new Grant(program(each), turn(each), GrantState.SETTLED, 10, "runner")),
                        Optional.of(new Turn(turn(each), "", ("in" + each).getBytes(UTF_8), new byte[0])),
                        StoreCluster.RETENTION,
                        Duration.ofSeconds(4)))
                .toArray(CompletableFuture[]::new);
        cluster.await(CompletableFuture.allOf(commits));
    }

    private static String program(int number) {
        return "program-with-a-name-of-usual-length-" + number;
    }

    private static String turn(int number) {
        return "turn-with-a-name-of-usual-length-" + number;
    }

    private void assertServesAllTurns() {
        for (int number = 0; number < PROGRAMS; number += 97) {
            BeginResult begun = cluster.await(
                    entry.begin(StoreCluster.beginRequest(program(number), "next" + number, 100, 10, turn(number))));
            assertTrue(begun instanceof BeginResult.Granted, "turn after " + turn(number) + ": " + begun);
        }
    }

    /** Guards against store VMs that serve no turn after a lost disk, as the list of their records fits no frame. */
    @Test
    public void listLargerThanAFrameIsSynchronized() {
        cluster.wipe("b");
        cluster.run(Duration.ofSeconds(5));
        assertServesAllTurns();
        assertEquals(cluster.stores.get("b").replica.turnIds().size(), PROGRAMS);
    }

    /** Guards against a synchronization that begins anew whenever a page of the list is lost. */
    @Test
    public void lostPageIsRequestedAgain() {
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger lists = new AtomicInteger();
        cluster.delayFrames(frame -> {
            Optional<ReplicaRequest.ListRecords> list = listRequest(frame);
            list.filter(each -> each.after().isEmpty()).ifPresent(each -> lists.incrementAndGet());
            return list.isPresent() && frame.from().equals("b") && requests.incrementAndGet() == 4;
        });
        int epochs = 2;
        cluster.wipe("b");
        cluster.run(Duration.ofSeconds(5));
        cluster.delayFrames(frame -> false);
        assertServesAllTurns();
        assertTrue(requests.get() > 4, "pages requested by the new member: " + requests);
        assertTrue(lists.get() <= epochs * 3 * 2, "lists begun: " + lists);
    }

    /** Returns a request for a page of the list, if a frame is one. */
    private static Optional<ReplicaRequest.ListRecords> listRequest(StoreCluster.Frame frame) {
        return MessagePackFrames.decode(frame.bytes(), in -> {
            boolean isRequest = in.unpackByte() == 1;
            in.unpackLong();
            in.unpackString();
            return isRequest && ConversationCodec.request(in) instanceof ReplicaRequest.ListRecords list
                    ? Optional.of(list)
                    : Optional.empty();
        });
    }

    /** Guards against members of the version before, which request the whole list and know nothing of pages. */
    @Test
    public void senderOfEarlierVersionGetsOnePage() {
        StoreSet set = cluster.stores.get("a").replica.set().orElseThrow();
        byte[] former = MessagePackFrames.encode(out -> {
            out.packByte((byte) 4);
            ConversationCodec.set(out, set);
        });
        ReplicaRequest request = MessagePackFrames.decode(former, ConversationCodec::request);
        ReplicaReply reply = cluster.await(cluster.stores.get("a").replica.handle(request));
        ReplicaReply.RecordList list = (ReplicaReply.RecordList) reply;
        assertEquals(list.turnIds().size(), PROGRAMS);
        assertEquals(list.lastProgram(), Optional.empty());
        assertEquals(
                MessagePackFrames.decode(
                        MessagePackFrames.encode(out -> ConversationCodec.request(
                                out, new ReplicaRequest.ListRecords(set, Optional.of("p"), 7))),
                        ConversationCodec::request),
                new ReplicaRequest.ListRecords(set, Optional.of("p"), 7));
    }

    /** Guards against pages that hold more than one program beyond their size. */
    @Test
    public void pagesAreBounded() {
        StoreSet set = cluster.stores.get("a").replica.set().orElseThrow();
        ReplicaReply.RecordList page = (ReplicaReply.RecordList) cluster.await(
                cluster.stores.get("a").replica.handle(new ReplicaRequest.ListRecords(set, Optional.empty(), 10_000)));
        assertEquals(
                page.lastProgram(),
                Optional.of(List.copyOf(page.lives().keySet()).getLast()));
        assertTrue(
                page.turnIds().size() > 1 && page.turnIds().size() < 100,
                page.turnIds().size() + " turns");
    }
}
