package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Durable storage of a store VM: an append-only log of records, and a small state that is replaced atomically. */
public interface DurableLog extends AutoCloseable {
    /**
     * A record with its expiry.
     *
     * @param bytes the encoded record
     * @param expiresAtMillis the time after which it may be deleted, in ms since the Unix epoch
     */
    record Entry(byte[] bytes, long expiresAtMillis) {}

    /** Time after its expiry for which a record is still in the log. */
    Duration DELETION_DELAY = Duration.ofSeconds(60);

    /**
     * Reads the records that the log held when it was opened, one by one. To be called before the first append; may be
     * called several times.
     *
     * @param reader receives the records, oldest first
     */
    void replay(Consumer<Entry> reader);

    /**
     * Reads the saved state.
     *
     * @return the state, or empty if none was saved
     */
    Optional<byte[]> state();

    /**
     * Appends records.
     *
     * @param entries the records
     * @return completes once the records survive a power loss
     */
    CompletableFuture<Void> append(List<Entry> entries);

    /**
     * Replaces the state.
     *
     * @param state the encoded state
     * @return completes once the state survives a power loss
     */
    CompletableFuture<Void> saveState(byte[] state);

    @Override
    void close();
}
