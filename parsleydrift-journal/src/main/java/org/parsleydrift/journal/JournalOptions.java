package org.parsleydrift.journal;

import java.time.Duration;

/**
 * Settings of the access to a journal.
 *
 * @param commitInterval the minimum time between the starts of two segment writes
 * @param requestTimeout the time after which a request without a response has an unknown outcome
 * @param retryDelay the delay before a rejected or lost request is retried
 * @param segmentBytes the maximum total size of the records of one segment, 1 to 1,000,000 bytes
 */
public record JournalOptions(Duration commitInterval, Duration requestTimeout, Duration retryDelay, int segmentBytes) {
    private static final int MAX_OBJECT_BYTES = 1_000_000;

    /**
     * Validates the segment size.
     *
     * @throws IllegalArgumentException if the segment size is out of range
     */
    public JournalOptions {
        if (segmentBytes < 1 || segmentBytes > MAX_OBJECT_BYTES) {
            throw new IllegalArgumentException("segmentBytes out of range 1 to 1000000: " + segmentBytes);
        }
    }

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static JournalOptions defaults() {
        return new JournalOptions(Duration.ofMillis(50), Duration.ofSeconds(2), Duration.ofMillis(200), 768 * 1024);
    }
}
