package org.parsleydrift.journal;

import java.util.concurrent.CompletableFuture;

/** An appended record that is not yet known to be durable. Not thread-safe, confined to the node's event loop. */
public final class JournalEntry {
    private final byte[] record;
    private final CompletableFuture<Void> durable = new CompletableFuture<>();

    JournalEntry(byte[] record) {
        this.record = record;
    }

    /**
     * Returns the future of the write.
     *
     * @return completes on the event loop when the record is durable; fails with {@link FencedException} if the journal
     *     was sealed
     */
    public CompletableFuture<Void> durable() {
        return durable;
    }

    byte[] record() {
        return record;
    }
}
