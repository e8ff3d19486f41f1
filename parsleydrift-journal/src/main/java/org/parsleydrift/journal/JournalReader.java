package org.parsleydrift.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoredObject;

/** Reads, seals and deletes journals. */
public final class JournalReader {
    private static final int READS_AT_ONCE = 16;

    private final EventLoop loop;
    private final ObjectStore store;
    private final JournalOptions options;

    /**
     * Creates a reader.
     *
     * @param loop the node's event loop
     * @param store the object store
     * @param options the journal settings, of which only the request timeout is used
     */
    public JournalReader(EventLoop loop, ObjectStore store, JournalOptions options) {
        this.loop = loop;
        this.store = store;
        this.options = options;
    }

    /**
     * Reads all segments needed for recovery, including the seal.
     *
     * @param incarnation the owner of the journal
     * @return the segments in order, starting at the base of the last one; empty if there is no journal; fails if a
     *     request to the object store fails
     */
    public CompletableFuture<List<Segment>> read(String incarnation) {
        return rows(incarnation)
                .thenComposeAsync(
                        rows -> rows.isEmpty()
                                ? CompletableFuture.completedFuture(List.<Segment>of())
                                : segment(rows.getLast().key()).thenComposeAsync(last -> readFrom(rows, last), loop),
                        loop);
    }

    /**
     * Seals a journal, or returns the existing seal.
     *
     * @param incarnation the owner of the journal
     * @param seal the seal to create if there is none
     * @return the seal in force, which may have been created by another node; fails if a request to the object store
     *     fails
     */
    public CompletableFuture<Seal> seal(String incarnation, Seal seal) {
        return rows(incarnation)
                .thenComposeAsync(
                        rows -> rows.isEmpty()
                                ? setSeal(incarnation, 1, 1, seal)
                                : segment(rows.getLast().key())
                                        .thenComposeAsync(
                                                last -> last.hasSeal()
                                                        ? CompletableFuture.completedFuture(last.seal())
                                                        : setSeal(incarnation, last.sequence() + 1, last.base(), seal),
                                                loop),
                        loop);
    }

    /**
     * Deletes all segments of a sealed journal except the seal.
     *
     * @param incarnation the owner of the journal
     * @return completes when the segments are deleted; fails if a request to the object store fails
     */
    public CompletableFuture<Void> deleteAllButSeal(String incarnation) {
        return rows(incarnation)
                .thenComposeAsync(
                        rows -> CompletableFuture.allOf(rows.stream()
                                .limit(Math.max(0, rows.size() - 1))
                                .map(row -> bounded(store.delete(row.key()), row.key()))
                                .toArray(CompletableFuture[]::new)),
                        loop);
    }

    private CompletableFuture<Seal> setSeal(String incarnation, long sequence, long base, Seal seal) {
        String key = JournalKeys.segment(incarnation, sequence);
        byte[] bytes = new Segment(incarnation, sequence, base, List.of(), seal).encode();
        return bounded(store.create(key, bytes), key)
                .handleAsync(
                        (version, failure) -> failure == null
                                ? CompletableFuture.completedFuture(seal)
                                // The owner wrote a segment, another node sealed the journal, or the response was lost.
                                : resolve(incarnation, key, seal, failure),
                        loop)
                .thenCompose(result -> result);
    }

    private CompletableFuture<Seal> resolve(String incarnation, String key, Seal seal, Throwable failure) {
        return bounded(store.read(key), key)
                .thenComposeAsync(
                        found -> {
                            if (found.isEmpty()) {
                                return CompletableFuture.failedFuture(failure);
                            }
                            Segment there = Segment.decode(found.get().value(), key);
                            return there.hasSeal()
                                    ? CompletableFuture.completedFuture(there.seal())
                                    : setSeal(incarnation, there.sequence() + 1, there.base(), seal);
                        },
                        loop);
    }

    private CompletableFuture<List<Segment>> readFrom(List<StoredObject> rows, Segment last) {
        List<String> keys = rows.stream()
                .map(StoredObject::key)
                .filter(key -> JournalKeys.sequence(key) >= last.base())
                .toList();
        return readBatch(keys, 0, new ArrayList<>());
    }

    private CompletableFuture<List<Segment>> readBatch(List<String> keys, int from, List<Segment> done) {
        if (from >= keys.size()) {
            done.sort(Comparator.comparingLong(Segment::sequence));
            return CompletableFuture.completedFuture(done);
        }
        int to = Math.min(keys.size(), from + READS_AT_ONCE);
        List<CompletableFuture<Segment>> reads =
                keys.subList(from, to).stream().map(this::segment).toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenComposeAsync(
                        nothing -> {
                            reads.forEach(read -> done.add(read.join()));
                            return readBatch(keys, to, done);
                        },
                        loop);
    }

    private CompletableFuture<Segment> segment(String key) {
        return bounded(store.read(key), key)
                .thenApplyAsync(
                        found -> found.map(object -> Segment.decode(object.value(), key))
                                .orElseThrow(() -> new StepException(Step.TAKEOVER, key, "journal segment not found")),
                        loop);
    }

    private CompletableFuture<List<StoredObject>> rows(String incarnation) {
        String prefix = JournalKeys.prefix(incarnation);
        return bounded(store.list(prefix), prefix);
    }

    private <T> CompletableFuture<T> bounded(CompletableFuture<T> answer, String key) {
        return Deadline.withTimeout(loop, answer, options.answerTimeout(), key);
    }
}
