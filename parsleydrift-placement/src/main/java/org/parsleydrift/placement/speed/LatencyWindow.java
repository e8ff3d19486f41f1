package org.parsleydrift.placement.speed;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * The latest response times of the plain calls of one service. Calls that were cancelled before they ended count as
 * longer than all others; without them each cancellation at a percentile would lower that percentile.
 */
final class LatencyWindow {
    /** Number of calls considered; at some calls per second these are the last minute. */
    private static final int SIZE = 256;
    /** Calls from which on the percentile is known; two of them are above it. */
    private static final int MIN_CALLS = 40;

    private static final double PERCENTILE = 0.95;
    /** Share of the percentile from which on a cancelled call counts; timers may fire early by a rounding error. */
    private static final double CANCELLED_SHARE = 0.9;
    /** Stands for the unknown time of a cancelled call. */
    private static final long CANCELLED = Long.MAX_VALUE;

    private final long[] nanos = new long[SIZE];
    private long calls;

    void addComplete(long tookNanos) {
        nanos[(int) (calls++ % SIZE)] = tookNanos;
    }

    /** Adds a cancelled call, unless it was cancelled too early to tell that it is longer than the percentile. */
    void addCancelled(long openNanos) {
        if (percentile()
                .map(each -> openNanos >= each.toNanos() * CANCELLED_SHARE)
                .orElse(true)) {
            addComplete(CANCELLED);
        }
    }

    /** Returns the 95th percentile; empty with too few calls, or if more than a twentieth were cancelled. */
    Optional<Duration> percentile() {
        int size = (int) Math.min(calls, SIZE);
        if (size < MIN_CALLS) {
            return Optional.empty();
        }
        long[] sorted = Arrays.copyOf(nanos, size);
        Arrays.sort(sorted);
        long found = sorted[(int) (PERCENTILE * size)];
        return found == CANCELLED ? Optional.empty() : Optional.of(Duration.ofNanos(found));
    }
}
