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
 * Writes the journal of one node incarnation: one segment at a time, each created only if absent. Confined to the
 * node's loop.
 *
 * <p>An answer of the platform can be lost after the segment was created. The writer would then see a conflict on its
 * own object, or wait for ever; it reads the object back instead and compares. A seal at that place means that another
 * node took over while this one was paused: every entry fails with {@link FencedException}, once and for good.
 */
public final class JournalWriter {
    private static final Logger LOG = System.getLogger(JournalWriter.class.getName());

    private final EventLoop loop;
    private final ObjectStore store;
    private final String incarnation;
    private final JournalOptions options;
    private final Consumer<FencedException> onFenced;
    private final ArrayDeque<JournalEntry> waiting = new ArrayDeque<>();
    private List<JournalEntry> inFlight = List.of();
    private Duration commitInterval;
    private long sequence;
    private long base = 1;
    private long durableBase = 1;
    private boolean writing;
    private boolean wakeUpSet;
    private long writeStartedNanos;
    private long lastDurableNanos;
    private FencedException fenced;

    /**
     * Makes a writer for a new journal.
     *
     * @param loop the node's loop
     * @param store the platform
     * @param incarnation the owner, a name never used before
     * @param options how to write
     * @param onFenced told once if the journal is found sealed
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
        this.lastDurableNanos = loop.clock().nanos();
        this.writeStartedNanos = lastDurableNanos - commitInterval.toNanos();
    }

    /**
     * Hands in a record. Records become durable in the order in which they were handed in.
     *
     * @param record its bytes
     * @return the entry
     * @throws StepException if the record is larger than a segment may be
     */
    public JournalEntry append(byte[] record) {
        if (record.length > options.segmentBytes()) {
            throw new StepException(Step.COMMIT, "self", "record of " + record.length + " bytes");
        }
        JournalEntry entry = new JournalEntry(record);
        if (fenced != null) {
            entry.durable().completeExceptionally(fenced);
            return entry;
        }
        waiting.add(entry);
        writeWhenDue();
        return entry;
    }

    /**
     * Sets the least time between two segment writes, from this node's share of the platform's write rate.
     *
     * @param interval the new interval
     */
    public void setCommitInterval(Duration interval) {
        commitInterval = interval;
    }

    /**
     * Declares segments below a number superfluous; the next segment carries the number.
     *
     * @param newBase the lowest segment still needed
     */
    public void advanceBase(long newBase) {
        base = Math.max(base, newBase);
    }

    /**
     * The base that the last durable segment carries; what lies below may be deleted.
     *
     * @return the lowest segment that a reader will read
     */
    public long durableBase() {
        return durableBase;
    }

    /**
     * The number of the last durable segment.
     *
     * @return the number, 0 before the first
     */
    public long durableSequence() {
        return sequence;
    }

    /**
     * How long the oldest unfinished write has been under way: the sign of a platform outage.
     *
     * @return the time, zero if nothing is being written
     */
    public Duration inFlightWriteAge() {
        return writing ? Duration.ofNanos(loop.clock().nanos() - writeStartedNanos) : Duration.ZERO;
    }

    /**
     * For how long this incarnation has had no proof that it owns its journal. The answer proves it for the time when
     * the write began, not for when the answer came.
     *
     * @return the time since the start of the last write that became durable
     */
    public Duration timeSinceDurableWrite() {
        return Duration.ofNanos(loop.clock().nanos() - lastDurableNanos);
    }

    /**
     * Whether all that was handed in is durable.
     *
     * @return true if nothing waits
     */
    public boolean isIdle() {
        return !writing && waiting.isEmpty();
    }

    /**
     * Whether the journal was found sealed.
     *
     * @return true if this incarnation is over
     */
    public boolean isFenced() {
        return fenced != null;
    }

    private void writeWhenDue() {
        if (writing || wakeUpSet || waiting.isEmpty() || fenced != null) {
            return;
        }
        long waitNanos =
                writeStartedNanos + commitInterval.toNanos() - loop.clock().nanos();
        wakeUpSet = true;
        loop.schedule(Duration.ofNanos(Math.max(0, waitNanos)), () -> {
            wakeUpSet = false;
            startWrite();
        });
    }

    private void startWrite() {
        if (writing || waiting.isEmpty() || fenced != null) {
            return;
        }
        inFlight = takeBatch();
        writing = true;
        writeStartedNanos = loop.clock().nanos();
        Segment segment = new Segment(
                incarnation,
                sequence + 1,
                base,
                inFlight.stream().map(JournalEntry::record).toList(),
                null);
        create(segment, segment.encode());
    }

    private List<JournalEntry> takeBatch() {
        List<JournalEntry> batch = new ArrayList<>();
        int bytes = 0;
        while (!waiting.isEmpty()
                && (batch.isEmpty() || bytes + waiting.peek().record().length <= options.segmentBytes())) {
            JournalEntry entry = waiting.poll();
            bytes += entry.record().length;
            batch.add(entry);
        }
        return batch;
    }

    private void create(Segment segment, byte[] bytes) {
        String key = JournalKeys.segment(incarnation, segment.sequence());
        bounded(store.create(key, bytes), key)
                .whenCompleteAsync(
                        (version, failure) -> {
                            if (failure == null) {
                                finish(segment);
                                return;
                            }
                            switch (StoreException.of(failure)) {
                                case CONFLICT, UNKNOWN -> readBack(segment, bytes);
                                case REFUSED, ABSENT -> later(() -> create(segment, bytes));
                            }
                        },
                        loop);
    }

    private void readBack(Segment segment, byte[] bytes) {
        String key = JournalKeys.segment(incarnation, segment.sequence());
        bounded(store.read(key), key)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                later(() -> readBack(segment, bytes));
                            } else if (found.isEmpty()) {
                                later(() -> create(segment, bytes));
                            } else {
                                judge(segment, found.get());
                            }
                        },
                        loop);
    }

    private void judge(Segment mine, StoredObject found) {
        Segment there = Segment.decode(found.value(), found.key());
        if (there.hasSeal()) {
            fence(there.seal());
        } else {
            // Only the owner and sealers create objects here, and the owner writes one segment at a time: it is ours.
            finish(mine);
        }
    }

    private void finish(Segment segment) {
        sequence = segment.sequence();
        durableBase = segment.base();
        lastDurableNanos = writeStartedNanos;
        writing = false;
        List<JournalEntry> done = inFlight;
        inFlight = List.of();
        done.forEach(entry -> entry.durable().complete(null));
        writeWhenDue();
    }

    private void fence(Seal seal) {
        fenced = new FencedException(incarnation, seal);
        writing = false;
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("journal_fenced")
                        .with("journal", incarnation)
                        .with("sequence", sequence + 1)
                        .with("sealed_by", seal.sealedBy())
                        .toString());
        List<JournalEntry> lost = new ArrayList<>(inFlight);
        lost.addAll(waiting);
        inFlight = List.of();
        waiting.clear();
        onFenced.accept(fenced);
        lost.forEach(entry -> entry.durable().completeExceptionally(fenced));
    }

    private void later(Runnable task) {
        loop.schedule(options.retryDelay(), task);
    }

    private <T> CompletableFuture<T> bounded(CompletableFuture<T> answer, String key) {
        return Deadline.withTimeout(loop, answer, options.answerTimeout(), key);
    }
}
