package org.parsleydrift.node.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.codec.MessagePackCodec;

/** Marks of shares taken in, kept in the journal until the node record tells of them. Confined to the node's loop. */
final class AdoptionMarks {
    private final JournalWriter journal;
    private final Map<String, Long> writtenFrom = new HashMap<>();

    AdoptionMarks(JournalWriter journal) {
        this.journal = journal;
    }

    /** Keeps the journal from here on, since a mark is about to follow. */
    void expect(String share) {
        writtenFrom.put(share, journal.durableSequence() + 1);
    }

    CompletableFuture<Void> write(String share) {
        long from = journal.durableSequence() + 1;
        return journal.append(MessagePackCodec.encode(new JournalRecord.Adopted(share)))
                .durable()
                .thenRun(() -> writtenFrom.computeIfPresent(share, (any, before) -> from));
    }

    void forget(String share) {
        writtenFrom.remove(share);
    }

    void rewriteOlderThan(long sequence) {
        List.copyOf(writtenFrom.entrySet()).stream()
                .filter(mark -> mark.getValue() < sequence)
                .forEach(mark -> write(mark.getKey()));
    }

    /** The lowest segment on which a mark rests. */
    long oldestNeeded() {
        return writtenFrom.values().stream().mapToLong(each -> each).min().orElse(Long.MAX_VALUE);
    }
}
