package org.parsleydrift.node.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.codec.MessagePackCodec;

/**
 * Adoption markers in this node's journal. A marker must stay in the journal until the node record shows the share as
 * adopted. Confined to the node's event loop.
 */
final class AdoptionMarkers {
    private final JournalWriter journal;
    private final Map<String, Long> firstSegments = new HashMap<>();

    AdoptionMarkers(JournalWriter journal) {
        this.journal = journal;
    }

    /** Retains the journal from the next segment on for a marker that is about to be written. */
    void retainJournal(String share) {
        firstSegments.put(share, journal.durableSequence() + 1);
    }

    CompletableFuture<Void> write(String share) {
        long from = journal.durableSequence() + 1;
        return journal.append(MessagePackCodec.encode(new JournalRecord.Adopted(share)))
                .durable()
                .thenRun(() -> firstSegments.computeIfPresent(share, (any, before) -> from));
    }

    void remove(String share) {
        firstSegments.remove(share);
    }

    void rewriteOlderThan(long sequence) {
        List.copyOf(firstSegments.entrySet()).stream()
                .filter(marker -> marker.getValue() < sequence)
                .forEach(marker -> write(marker.getKey()));
    }

    /** Returns the lowest segment that a marker needs, or {@code Long.MAX_VALUE} if there is none. */
    long oldestReferencedSegment() {
        return firstSegments.values().stream().mapToLong(each -> each).min().orElse(Long.MAX_VALUE);
    }
}
