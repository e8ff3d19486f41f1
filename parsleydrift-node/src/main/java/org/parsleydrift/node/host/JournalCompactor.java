package org.parsleydrift.node.host;

import java.time.Duration;
import org.parsleydrift.journal.JournalKeys;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.node.NodeEnvironment;

/**
 * Bounds the journal: writes the states of programs whose oldest record lies far back again, and deletes the segments
 * that nothing rests on any more. A takeover reads no more than these. Confined to the node's loop.
 */
public final class JournalCompactor {
    private static final Duration PERIOD = Duration.ofSeconds(2);
    private static final int KEPT_SEGMENTS = 256;
    private static final int DELETES_AT_ONCE = 64;

    private final NodeEnvironment environment;
    private final String incarnation;
    private final JournalWriter journal;
    private final ProgramHost host;
    private long deletedBelow = 1;
    private boolean stopped;

    /**
     * Makes a compactor that is not yet at work.
     *
     * @param environment the outside
     * @param incarnation the journal's owner
     * @param journal the journal
     * @param host the programs in it
     */
    public JournalCompactor(NodeEnvironment environment, String incarnation, JournalWriter journal, ProgramHost host) {
        this.environment = environment;
        this.incarnation = incarnation;
        this.journal = journal;
        this.host = host;
    }

    /** Begins to look after the journal. */
    public void begin() {
        environment.loop().schedule(PERIOD, this::run);
    }

    /** Ends it. */
    public void stop() {
        stopped = true;
    }

    private void run() {
        if (stopped || journal.isFenced()) {
            return;
        }
        long base = journal.durableBase();
        long end = Math.min(base, deletedBelow + DELETES_AT_ONCE);
        for (long sequence = deletedBelow; sequence < end; sequence++) {
            environment
                    .store()
                    .delete(JournalKeys.segment(incarnation, sequence))
                    .exceptionally(failure -> null);
        }
        deletedBelow = Math.max(deletedBelow, end);
        host.rewriteOlderThan(journal.durableSequence() - KEPT_SEGMENTS);
        journal.advanceBase(host.oldestNeeded());
        environment.loop().schedule(PERIOD, this::run);
    }
}
