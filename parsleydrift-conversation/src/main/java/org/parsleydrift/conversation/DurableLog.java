package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What a store VM keeps on its disk: records in order, and one small state that is replaced as a whole. */
public interface DurableLog extends AutoCloseable {
    /**
     * A record.
     *
     * @param bytes its bytes
     * @param neededUntilMillis wall time, ms since 1970, after which it may be dropped
     */
    record Entry(byte[] bytes, long neededUntilMillis) {}

    /**
     * Records found on disk at start, oldest first.
     *
     * @return the records
     */
    List<Entry> replay();

    /**
     * The state found on disk at start.
     *
     * @return the state, if there is one
     */
    Optional<byte[]> state();

    /**
     * Appends records.
     *
     * @param entries the records
     * @return done once they survive a loss of power
     */
    CompletableFuture<Void> append(List<Entry> entries);

    /**
     * Replaces the state.
     *
     * @param state its bytes
     * @return done once it survives a loss of power
     */
    CompletableFuture<Void> saveState(byte[] state);

    @Override
    void close();
}
