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
    private static final int MAX_CONCURRENT_READS = 16;

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
        return listSegments(incarnation)
                .thenComposeAsync(
                        objects -> objects.isEmpty()
                                ? CompletableFuture.completedFuture(List.<Segment>of())
                                : readSegment(objects.getLast().key())
                                        .thenComposeAsync(last -> readFrom(objects, last), loop),
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
        return listSegments(incarnation)
                .thenComposeAsync(
                        objects -> objects.isEmpty()
                                ? createSeal(incarnation, 1, 1, seal)
                                : readSegment(objects.getLast().key())
                                        .thenComposeAsync(
                                                last -> last.hasSeal()
                                                        ? CompletableFuture.completedFuture(last.seal())
                                                        : createSeal(
                                                                incarnation, last.sequence() + 1, last.base(), seal),
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
        return listSegments(incarnation)
                .thenComposeAsync(
                        objects -> CompletableFuture.allOf(objects.stream()
                                .limit(Math.max(0, objects.size() - 1))
                                .map(object -> withTimeout(store.delete(object.key()), object.key()))
                                .toArray(CompletableFuture[]::new)),
                        loop);
    }

    private CompletableFuture<Seal> createSeal(String incarnation, long sequence, long base, Seal seal) {
        String key = JournalKeys.segment(incarnation, sequence);
        byte[] bytes = new Segment(incarnation, sequence, base, List.of(), seal).encode();
        return withTimeout(store.create(key, bytes), key)
                .handleAsync(
                        (version, failure) -> failure == null
                                ? CompletableFuture.completedFuture(seal)
                                // The owner wrote a segment, another node sealed the journal, or the response was lost.
                                : resolveExisting(incarnation, key, seal, failure),
                        loop)
                .thenCompose(result -> result);
    }

    private CompletableFuture<Seal> resolveExisting(String incarnation, String key, Seal seal, Throwable failure) {
        return withTimeout(store.read(key), key)
                .thenComposeAsync(
                        found -> {
                            if (found.isEmpty()) {
                                return CompletableFuture.failedFuture(failure);
                            }
                            Segment existing = Segment.decode(found.get().value(), key);
                            return existing.hasSeal()
                                    ? CompletableFuture.completedFuture(existing.seal())
                                    : createSeal(incarnation, existing.sequence() + 1, existing.base(), seal);
                        },
                        loop);
    }

    private CompletableFuture<List<Segment>> readFrom(List<StoredObject> objects, Segment last) {
        List<String> keys = objects.stream()
                .map(StoredObject::key)
                .filter(key -> JournalKeys.sequence(key) >= last.base())
                .toList();
        return readBatch(keys, 0, new ArrayList<>());
    }

    private CompletableFuture<List<Segment>> readBatch(List<String> keys, int from, List<Segment> segments) {
        if (from >= keys.size()) {
            segments.sort(Comparator.comparingLong(Segment::sequence));
            return CompletableFuture.completedFuture(segments);
        }
        int to = Math.min(keys.size(), from + MAX_CONCURRENT_READS);
        List<CompletableFuture<Segment>> reads =
                keys.subList(from, to).stream().map(this::readSegment).toList();
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenComposeAsync(
                        ignored -> {
                            reads.forEach(read -> segments.add(read.join()));
                            return readBatch(keys, to, segments);
                        },
                        loop);
    }

    private CompletableFuture<Segment> readSegment(String key) {
        return withTimeout(store.read(key), key)
                .thenApplyAsync(
                        found -> found.map(object -> Segment.decode(object.value(), key))
                                .orElseThrow(() -> new StepException(Step.TAKEOVER, key, "journal segment not found")),
                        loop);
    }

    private CompletableFuture<List<StoredObject>> listSegments(String incarnation) {
        String prefix = JournalKeys.prefix(incarnation);
        return withTimeout(store.list(prefix), prefix);
    }

    private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> response, String key) {
        return Deadline.withTimeout(loop, response, options.requestTimeout(), key);
    }
}
