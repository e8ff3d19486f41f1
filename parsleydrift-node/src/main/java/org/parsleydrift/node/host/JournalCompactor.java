package org.parsleydrift.node.host;

import java.time.Duration;
import org.parsleydrift.journal.JournalKeys;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.node.NodeEnvironment;

/**
 * Bounds the length of the journal, and so the time of a takeover: rewrites programs that still need old segments, and
 * deletes the segments that nothing references. Confined to the node's event loop.
 */
public final class JournalCompactor {
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    private static final int RETAINED_SEGMENTS = 256;
    private static final int MAX_DELETES_PER_RUN = 64;

    private final NodeEnvironment environment;
    private final String incarnation;
    private final JournalWriter journal;
    private final ProgramHost host;
    private long deletedBelow = 1;
    private boolean stopped;

    /**
     * Creates a compactor that is idle until {@link #start()}.
     *
     * @param environment gives access to the event loop and the platform
     * @param incarnation the incarnation that writes the journal
     * @param journal the journal
     * @param host the programs recorded in the journal
     */
    public JournalCompactor(NodeEnvironment environment, String incarnation, JournalWriter journal, ProgramHost host) {
        this.environment = environment;
        this.incarnation = incarnation;
        this.journal = journal;
        this.host = host;
    }

    /** Starts periodic compaction. */
    public void start() {
        environment.loop().schedule(INTERVAL, this::run);
    }

    /** Stops compaction before its next run. */
    public void stop() {
        stopped = true;
    }

    private void run() {
        if (stopped || journal.isFenced()) {
            return;
        }
        long base = journal.durableBase();
        long end = Math.min(base, deletedBelow + MAX_DELETES_PER_RUN);
        for (long sequence = deletedBelow; sequence < end; sequence++) {
            environment
                    .store()
                    .delete(JournalKeys.segment(incarnation, sequence))
                    .exceptionally(failure -> null);
        }
        deletedBelow = Math.max(deletedBelow, end);
        host.rewriteOlderThan(journal.durableSequence() - RETAINED_SEGMENTS);
        journal.advanceBase(host.oldestReferencedSegment());
        environment.loop().schedule(INTERVAL, this::run);
    }
}
