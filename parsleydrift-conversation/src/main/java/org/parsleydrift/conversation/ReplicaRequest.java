package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;

/** A request to a store VM. */
public sealed interface ReplicaRequest {
    /** Size of the texts in a reply to a reader, bytes; small, so that replies to others do not wait for it. */
    int PAGE_BYTES = 256 << 10;
    /**
     * The same for readers that fetch no further turns, such as those of an earlier version, which accept frames of 4 MiB.
     */
    int LARGE_PAGE_BYTES = 3 << 20;
    /** The same for members of an earlier version that fetch turns. */
    int FORMER_FETCH_PAGE_BYTES = 1 << 20;

    /**
     * Returns the expected size of the texts in the reply, for which its sender allows additional time.
     *
     * @return the size if it is known to be large, otherwise 0, bytes
     */
    default int expectedReplyBytes() {
        return 0;
    }

    /**
     * Stores grants, a turn and the origin of a stream; answered once they are on disk.
     *
     * @param epoch the epoch of the sender
     * @param retentionMillis the retention period in ms
     * @param grants the grants
     * @param turn the turn, if there is one
     * @param origin the origin of a stream, if there is one
     * @param lineage the program of the turn and what its chain has inherited; empty without a turn, and from an earlier
     *     version
     */
    record Write(
            long epoch,
            long retentionMillis,
            List<Grant> grants,
            Optional<Turn> turn,
            Optional<StreamOrigin> origin,
            Optional<TurnLineage> lineage)
            implements ReplicaRequest {}

    /**
     * Reads a program's grants, the chain that ends with a turn, and the origins of streams.
     *
     * @param epoch the epoch of the sender
     * @param program the program; empty for none
     * @param lastTurn the ID of the last turn of the chain; empty for none
     * @param includesTexts whether to return the turns with their text rather than only their IDs
     * @param streams the IDs of the streams
     * @param pageBytes the size of the texts beyond which the earlier turns of the chain are left to further requests,
     *     bytes; none is sent if the latest one is larger
     */
    record Read(long epoch, String program, String lastTurn, boolean includesTexts, List<String> streams, int pageBytes)
            implements ReplicaRequest {}

    /**
     * Reads single turns. Valid at every epoch, since turns are immutable.
     *
     * @param turnIds the IDs of the turns
     * @param pageBytes the size of the texts beyond which the rest of the turns is left to further requests, bytes; the
     *     reply contains at least one turn
     * @param expectedReplyBytes the expected size of the texts in the reply, bytes; not sent
     */
    record Fetch(List<String> turnIds, int pageBytes, int expectedReplyBytes) implements ReplicaRequest {}

    /**
     * Requests a page of the list of all records, from which the sender synchronizes for a new epoch. The receiver adopts
     * the set first, so that it accepts no further writes of earlier epochs, and no page can miss one.
     *
     * @param set the set at the new epoch
     * @param after the last program of the page before; empty for the first page
     * @param pageBytes the size of the page beyond which the rest of the records is left to further requests, bytes
     */
    record ListRecords(StoreSet set, Optional<String> after, int pageBytes) implements ReplicaRequest {
        /** Size of a page for senders of an earlier version, which read one page only, bytes. */
        static final int ONE_PAGE_BYTES = Integer.MAX_VALUE;
    }

    /**
     * Heartbeat that may carry a newer set for the member to adopt; answered with {@link ReplicaReply.Progress}.
     *
     * @param set the newest set known to the sender, or empty if the member already has it
     */
    record Heartbeat(Optional<StoreSet> set) implements ReplicaRequest {}
}
