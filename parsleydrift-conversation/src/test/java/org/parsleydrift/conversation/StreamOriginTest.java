package org.parsleydrift.conversation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Durability of the origins of streams across failures and changes of the store set. */
public class StreamOriginTest {
    private static final Duration SYNC_TIME = Duration.ofSeconds(4);
    private static final StreamOrigin RESERVED = new StreamOrigin("q1", "s", "v1");
    private static final StreamOrigin NOTED = new StreamOrigin("q2", "s", "v2");

    private StoreCluster cluster;
    private int readers;

    /** Writes one origin with a reservation and one in the background. */
    @BeforeMethod
    public void start() {
        cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("e");
        BeginResult begun = cluster.await(entry.begin(new BeginRequest(
                "p",
                "q1",
                OptionalInt.of(1000),
                10,
                "",
                StoreCluster.RETENTION,
                Duration.ofSeconds(1),
                Optional.of(RESERVED),
                new ResumedStream.None())));
        assertTrue(begun instanceof BeginResult.Granted, begun.toString());
        entry.recordOrigin(NOTED, StoreCluster.RETENTION);
        cluster.run(Duration.ofMillis(100));
    }

    private Optional<StreamOrigin> read(String stream) {
        Conversations reader = cluster.entry("reader" + ++readers);
        cluster.run(Duration.ofMillis(200));
        BeginResult result = cluster.await(reader.begin(new BeginRequest(
                "",
                "r" + readers,
                OptionalInt.empty(),
                10,
                "",
                StoreCluster.RETENTION,
                Duration.ofSeconds(1),
                Optional.empty(),
                new ResumedStream.Named(stream))));
        assertTrue(result instanceof BeginResult.Granted, result.toString());
        return ((BeginResult.Granted) result).resumedOrigin();
    }

    private void assertKnown() {
        assertEquals(read("q1"), Optional.of(RESERVED));
        assertEquals(read("q2"), Optional.of(NOTED));
        assertEquals(read("q3"), Optional.empty());
    }

    /** Guards against an origin that the node that wrote it alone can read. */
    @Test
    public void originIsKnownToOtherNodes() {
        assertKnown();
    }

    /** Guards against an origin that is written again with another version. */
    @Test
    public void originIsImmutable() {
        cluster.entry("late").recordOrigin(new StreamOrigin("q1", "s", "v9"), StoreCluster.RETENTION);
        cluster.run(Duration.ofMillis(200));
        assertKnown();
    }

    /** Guards against acknowledging origins before they are on disk. */
    @Test
    public void originsSurvivePowerLossOfAllMembers() {
        List.of("a", "b", "c").forEach(name -> cluster.stores.get(name).stop());
        List.of("a", "b", "c").forEach(cluster::restart);
        cluster.run(SYNC_TIME);
        assertKnown();
    }

    /** Guards against a member with an empty disk that synchronizes turns and grants only. */
    @Test
    public void originsSurviveSuccessiveDiskLosses() {
        List.of("a", "b", "c").forEach(name -> {
            cluster.wipe(name);
            cluster.run(SYNC_TIME);
        });
        assertKnown();
    }

    /** Guards against origins that fill the memory of the store VMs. */
    @Test
    public void originsExpire() {
        cluster.run(StoreCluster.RETENTION.multipliedBy(4));
        assertEquals(read("q1"), Optional.empty());
    }

    /** Guards against frames that processes of the version before cannot read, or that cannot be read from them. */
    @Test
    public void framesWithoutOriginsAreReadBothWays() {
        ReplicaRequest.Read read = new ReplicaRequest.Read(3, "p", "t", true, List.of("q1"), ReplicaRequest.PAGE_BYTES);
        byte[] former = MessagePackFrames.encode(out -> out.packByte((byte) 2)
                .packLong(3)
                .packString("p")
                .packString("t")
                .packBoolean(true));
        assertEquals(
                MessagePackFrames.decode(former, ConversationCodec::request),
                new ReplicaRequest.Read(3, "p", "t", true, List.of(), ReplicaRequest.LARGE_PAGE_BYTES));
        byte[] present = MessagePackFrames.encode(out -> ConversationCodec.request(out, read));
        assertEquals(MessagePackFrames.decode(present, ConversationCodec::request), read);
        // Readers of the version before stop after the fields that they know.
        assertEquals(Arrays.copyOf(present, former.length), former);
    }
}
