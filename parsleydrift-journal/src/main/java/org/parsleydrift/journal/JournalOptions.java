package org.parsleydrift.journal;

import java.time.Duration;

/**
 * How a journal writes.
 *
 * @param commitInterval the least time between the starts of two segment writes
 * @param answerTimeout after this time without an answer a write counts as unknown
 * @param retryDelay wait before a request that was refused or lost is made again
 * @param segmentBytes records are put into one segment up to this many bytes
 */
public record JournalOptions(Duration commitInterval, Duration answerTimeout, Duration retryDelay, int segmentBytes) {
    private static final int MAX_OBJECT_BYTES = 1_000_000;

    /** Checks the bounds. */
    public JournalOptions {
        if (segmentBytes < 1 || segmentBytes > MAX_OBJECT_BYTES) {
            throw new IllegalArgumentException("segmentBytes " + segmentBytes);
        }
    }

    /**
     * Options that suit nine nodes under a platform allowance of 200 writes a second.
     *
     * @return the defaults
     */
    public static JournalOptions defaults() {
        return new JournalOptions(Duration.ofMillis(50), Duration.ofSeconds(2), Duration.ofMillis(200), 768 * 1024);
    }
}
