package org.parsleydrift.journal;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoredObject;

/**
 * Writes the journal of one node incarnation, one segment at a time. Segments are created with a create-if-absent
 * request. Not thread-safe, confined to the node's event loop.
 *
 * <p>If the response of the object store is lost or reports a conflict, the writer reads the object back to find out
 * whether its own segment was stored. If it finds a seal instead, another node has taken over: the journal is fenced
 * and all pending and later entries fail with {@link FencedException}.
 */
public final class JournalWriter {
    private static final Logger LOG = System.getLogger(JournalWriter.class.getName());

    private final EventLoop loop;
    private final ObjectStore store;
    private final String incarnation;
    private final JournalOptions options;
    private final Consumer<FencedException> onFenced;
    private final ArrayDeque<JournalEntry> pending = new ArrayDeque<>();
    private List<JournalEntry> inFlight = List.of();
    private Duration commitInterval;
    private long durableSequence;
    private long base = 1;
    private long durableBase = 1;
    private boolean writing;
    private boolean writeScheduled;
    private long writeStartedNanos;
    private long lastDurableWriteStartNanos;
    private FencedException fenced;

    /**
     * Creates a writer for a new journal.
     *
     * @param loop the node's event loop
     * @param store the object store
     * @param incarnation the owner of the journal, a name never used before
     * @param options the journal settings
     * @param onFenced called once if the journal is found sealed
     */
    public JournalWriter(
            EventLoop loop,
            ObjectStore store,
            String incarnation,
            JournalOptions options,
            Consumer<FencedException> onFenced) {
        this.loop = loop;
        this.store = store;
        this.incarnation = incarnation;
        this.options = options;
        this.onFenced = onFenced;
        this.commitInterval = options.commitInterval();
        this.lastDurableWriteStartNanos = loop.clock().nanos();
        this.writeStartedNanos = lastDurableWriteStartNanos - commitInterval.toNanos();
    }

    /**
     * Appends a record. Records become durable in the order in which they were appended.
     *
     * @param record the encoded record
     * @return the entry, which has already failed if the journal is fenced
     * @throws StepException if the record exceeds the maximum segment size
     */
    public JournalEntry append(byte[] record) {
        if (record.length > options.segmentBytes()) {
            throw new StepException(
                    Step.COMMIT,
                    "self",
                    "journal record of " + record.length + " bytes exceeds the limit of " + options.segmentBytes()
                            + " bytes");
        }
        JournalEntry entry = new JournalEntry(record);
        if (fenced != null) {
            entry.durable().completeExceptionally(fenced);
            return entry;
        }
        pending.add(entry);
        scheduleWrite();
        return entry;
    }

    /**
     * Sets the minimum time between the starts of two segment writes, which limits this node's write rate.
     *
     * @param interval the new interval
     */
    public void setCommitInterval(Duration interval) {
        commitInterval = interval;
    }

    /**
     * Raises the base, the lowest segment needed for recovery. The next segment stores it; a lower value is ignored.
     *
     * @param newBase the sequence number of the lowest segment still needed
     */
    public void advanceBase(long newBase) {
        base = Math.max(base, newBase);
    }

    /**
     * Returns the base stored in the last durable segment. Segments below it may be deleted.
     *
     * @return the sequence number of the lowest segment that a reader reads, 1 at first
     */
    public long durableBase() {
        return durableBase;
    }

    /**
     * Returns the sequence number of the last durable segment.
     *
     * @return the sequence number, 0 before the first durable segment
     */
    public long durableSequence() {
        return durableSequence;
    }

    /**
     * Returns the age of the segment write in progress. A high age indicates an outage of the object store.
     *
     * @return the time since the start of the write, zero if no write is in progress
     */
    public Duration inFlightWriteAge() {
        return writing ? Duration.ofNanos(loop.clock().nanos() - writeStartedNanos) : Duration.ZERO;
    }

    /**
     * Returns the time since this incarnation last proved that it owns its journal. A successful write proves ownership
     * for the time when the write started, not for the time of the response.
     *
     * @return the time since the start of the last write that became durable, or since creation of this writer
     */
    public Duration timeSinceDurableWrite() {
        return Duration.ofNanos(loop.clock().nanos() - lastDurableWriteStartNanos);
    }

    /**
     * Returns whether no appended record is waiting or being written.
     *
     * @return true if no write is in progress and none is needed
     */
    public boolean isIdle() {
        return !writing && pending.isEmpty();
    }

    /**
     * Returns whether the journal was found sealed.
     *
     * @return true if this incarnation can no longer write
     */
    public boolean isFenced() {
        return fenced != null;
    }

    private void scheduleWrite() {
        if (writing || writeScheduled || pending.isEmpty() || fenced != null) {
            return;
        }
        long delayNanos =
                writeStartedNanos + commitInterval.toNanos() - loop.clock().nanos();
        writeScheduled = true;
        loop.schedule(Duration.ofNanos(Math.max(0, delayNanos)), () -> {
            writeScheduled = false;
            startWrite();
        });
    }

    private void startWrite() {
        if (writing || pending.isEmpty() || fenced != null) {
            return;
        }
        inFlight = takeBatch();
        writing = true;
        writeStartedNanos = loop.clock().nanos();
        Segment segment = new Segment(
                incarnation,
                durableSequence + 1,
                base,
                inFlight.stream().map(JournalEntry::record).toList(),
                null);
        create(segment, segment.encode());
    }

    private List<JournalEntry> takeBatch() {
        List<JournalEntry> batch = new ArrayList<>();
        int bytes = 0;
        while (!pending.isEmpty()
                && (batch.isEmpty() || bytes + pending.peek().record().length <= options.segmentBytes())) {
            JournalEntry entry = pending.poll();
            bytes += entry.record().length;
            batch.add(entry);
        }
        return batch;
    }

    private void create(Segment segment, byte[] bytes) {
        String key = JournalKeys.segment(incarnation, segment.sequence());
        withTimeout(store.create(key, bytes), key)
                .whenCompleteAsync(
                        (version, failure) -> {
                            if (failure == null) {
                                completeWrite(segment);
                                return;
                            }
                            switch (StoreException.of(failure)) {
                                case CONFLICT, UNKNOWN, TOO_LARGE -> readBack(segment, bytes);
                                case REFUSED, ABSENT -> retryLater(() -> create(segment, bytes));
                            }
                        },
                        loop);
    }

    private void readBack(Segment segment, byte[] bytes) {
        String key = JournalKeys.segment(incarnation, segment.sequence());
        withTimeout(store.read(key), key)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                retryLater(() -> readBack(segment, bytes));
                            } else if (found.isEmpty()) {
                                retryLater(() -> create(segment, bytes));
                            } else {
                                resolveExisting(segment, found.get());
                            }
                        },
                        loop);
    }

    private void resolveExisting(Segment segment, StoredObject found) {
        Segment existing = Segment.decode(found.value(), found.key());
        if (existing.hasSeal()) {
            fence(existing.seal());
        } else {
            // Other nodes create only seals in this journal and the owner has one write in flight, so this is the
            // segment being written.
            completeWrite(segment);
        }
    }

    private void completeWrite(Segment segment) {
        durableSequence = segment.sequence();
        durableBase = segment.base();
        lastDurableWriteStartNanos = writeStartedNanos;
        writing = false;
        List<JournalEntry> completed = inFlight;
        inFlight = List.of();
        completed.forEach(entry -> entry.durable().complete(null));
        scheduleWrite();
    }

    private void fence(Seal seal) {
        fenced = new FencedException(incarnation, seal);
        writing = false;
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("journal_fenced")
                        .with("journal", incarnation)
                        .with("sequence", durableSequence + 1)
                        .with("sealed_by", seal.sealedBy())
                        .toString());
        List<JournalEntry> failed = new ArrayList<>(inFlight);
        failed.addAll(pending);
        inFlight = List.of();
        pending.clear();
        onFenced.accept(fenced);
        failed.forEach(entry -> entry.durable().completeExceptionally(fenced));
    }

    private void retryLater(Runnable task) {
        loop.schedule(options.retryDelay(), task);
    }

    private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> response, String key) {
        return Deadline.withTimeout(loop, response, options.requestTimeout(), key);
    }
}
