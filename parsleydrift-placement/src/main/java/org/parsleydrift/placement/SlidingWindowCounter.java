package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.LongStream;

/**
 * A counter over a sliding window, divided into slots. A slot expires as a whole once all of it is older than the
 * window, so the sum is never too low, and too high by at most the count of one slot.
 */
public final class SlidingWindowCounter {
    private static final int SLOTS = 50;
    /** Age, in slots, from which on a slot counts as expiring. */
    private static final int EXPIRING_SLOT_AGE = SLOTS - (int) (SLOTS * WindowCounts.EXPIRING_FRACTION);

    private final long slotNanos;
    private final int[] counts = new int[SLOTS + 1];
    private long newest = Long.MIN_VALUE;
    private int sum;

    /**
     * Creates a counter with a sum of 0.
     *
     * @param window length of the window
     */
    public SlidingWindowCounter(Duration window) {
        slotNanos = Math.max(1, window.toNanos() / SLOTS);
    }

    /**
     * Adds a count at a point in time; ignored if that slot has expired.
     *
     * @param atNanos monotonic time, ns
     * @param count the count, which may be negative
     */
    public void add(long atNanos, int count) {
        long slot = Math.floorDiv(atNanos, slotNanos);
        if (slot > newest) {
            advance(slot);
        }
        if (slot > newest - counts.length) {
            counts[slotIndex(slot)] += count;
            sum += count;
        }
    }

    /**
     * Returns the sum of the counts in the window.
     *
     * @param nowNanos monotonic time, ns
     * @return the sum
     */
    public int sum(long nowNanos) {
        advance(Math.floorDiv(nowNanos, slotNanos));
        return sum;
    }

    WindowCounts windowCounts(long nowNanos) {
        int total = sum(nowNanos);
        return total == 0
                ? WindowCounts.NONE
                : new WindowCounts(
                        total,
                        sumBetween(newest - SLOTS / 2, newest),
                        sumBetween(newest - SLOTS, newest - EXPIRING_SLOT_AGE));
    }

    private int sumBetween(long first, long last) {
        return LongStream.rangeClosed(first, last)
                .mapToInt(slot -> counts[slotIndex(slot)])
                .sum();
    }

    private void advance(long slot) {
        if (newest == Long.MIN_VALUE || slot - newest >= counts.length) {
            Arrays.fill(counts, 0);
            sum = 0;
            newest = Math.max(newest, slot);
            return;
        }
        while (newest < slot) {
            newest++;
            sum -= counts[slotIndex(newest)];
            counts[slotIndex(newest)] = 0;
        }
    }

    private int slotIndex(long slot) {
        return (int) Math.floorMod(slot, (long) counts.length);
    }
}
