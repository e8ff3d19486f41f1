package org.parsleydrift.journal;

import java.util.concurrent.CompletableFuture;

/** A record on its way into the journal. Confined to the node's loop. */
public final class JournalEntry {
    private final byte[] record;
    private final CompletableFuture<Void> durable = new CompletableFuture<>();

    JournalEntry(byte[] record) {
        this.record = record;
    }

    /**
     * Completes on the loop when the record is durable; fails with {@link FencedException} if it never will be.
     *
     * @return the future
     */
    public CompletableFuture<Void> durable() {
        return durable;
    }

    byte[] record() {
        return record;
    }
}
