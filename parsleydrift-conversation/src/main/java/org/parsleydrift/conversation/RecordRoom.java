package org.parsleydrift.conversation;

import java.lang.System.Logger;
import org.parsleydrift.kernel.LogLine;

/**
 * The memory that the records of a store VM may use. As it fills up, new programs are rejected first, then further turns of
 * the programs that are kept, and last the results of turns that run, so that the process never uses up its heap.
 */
final class RecordRoom {
    private static final Logger LOG = System.getLogger(RecordRoom.class.getName());

    /** What a write adds to the records. */
    enum Growth {
        /** The first reservation of a program. */
        NEW_PROGRAM(1),
        /** The reservation of a further turn. */
        FURTHER_TURN(1.25),
        /** The result of a turn that runs. */
        RESULT(1.4);

        /** Limit of the memory, as a multiple of that for new programs. */
        private final double limitFactor;

        Growth(double limitFactor) {
            this.limitFactor = limitFactor;
        }
    }

    private final long maxBytes;
    private boolean wasExceeded;

    /**
     * Creates the room.
     *
     * @param maxBytes memory of the records from which on new programs are rejected, bytes
     */
    RecordRoom(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns whether there is no room for a write. */
    boolean isExceededBy(RecordIndex records, Growth growth) {
        return isExceededBy(records) && records.bytes() > maxBytes * growth.limitFactor;
    }

    /** Returns whether records use more memory than they may for new programs; logs each change. */
    boolean isExceededBy(RecordIndex records) {
        boolean exceeded = records.bytes() > maxBytes;
        if (exceeded != wasExceeded) {
            wasExceeded = exceeded;
            LOG.log(
                    exceeded ? Logger.Level.WARNING : Logger.Level.INFO,
                    () -> LogLine.of(exceeded ? "store_full" : "store_has_room")
                            .with("bytes", records.bytes())
                            .with("limit", maxBytes)
                            .with("turns", records.size())
                            .toString());
        }
        return exceeded;
    }
}
