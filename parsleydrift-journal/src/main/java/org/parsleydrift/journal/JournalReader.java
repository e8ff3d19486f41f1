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

/** Reads whole journals and seals them. */
public final class JournalReader {
    private static final int READS_AT_ONCE = 16;

    private final EventLoop loop;
    private final ObjectStore store;
    private final JournalOptions options;

    /**
     * Makes a reader.
     *
     * @param loop the node's loop
     * @param store the platform
     * @param options how long to wait for answers
     */
    public JournalReader(EventLoop loop, ObjectStore store, JournalOptions options) {
        this.loop = loop;
        this.store = store;
        this.options = options;
    }

    /**
     * Reads the segments that are still needed, the seal among them.
     *
     * @param incarnation the journal's owner
     * @return segments in order, from the last one's base on; fails if the platform does not answer
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
     * Seals a journal, or finds the seal that is there.
     *
     * @param incarnation the journal's owner
     * @param seal the seal to set
     * @return the seal in force, which may be another node's; fails if the platform does not answer
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
     * Deletes all segments of a sealed journal but the seal.
     *
     * @param incarnation the journal's owner
     * @return completes when they are gone; fails if the platform does not answer
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
                                // The owner wrote first, another node sealed first, or the answer was lost: look again.
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
                                .orElseThrow(() -> new StepException(Step.TAKEOVER, key, "segment is gone")),
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
