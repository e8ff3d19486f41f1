package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.LongStream;

/**
 * A counter over a sliding window, divided into slots. A slot expires as a whole once all of it is older than the
 * window, so the sum is never too low, and too high by at most the count of one slot.
 */
final class SlidingCount {
    private static final int SLOTS = 50;
    /** Age, in slots, from which on a slot counts as expiring. */
    private static final int OLD_SLOTS = SLOTS - (int) (SLOTS * WindowCounts.LEAVING_PART);

    private final long slotNanos;
    private final int[] counts = new int[SLOTS + 1];
    private long newest = Long.MIN_VALUE;
    private int sum;

    SlidingCount(Duration span) {
        slotNanos = Math.max(1, span.toNanos() / SLOTS);
    }

    /** Adds a count, which may be negative, at a point in time; ignored if that slot has expired. */
    void add(long atNanos, int count) {
        long slot = Math.floorDiv(atNanos, slotNanos);
        if (slot > newest) {
            advance(slot);
        }
        if (slot > newest - counts.length) {
            counts[place(slot)] += count;
            sum += count;
        }
    }

    int sum(long nowNanos) {
        advance(Math.floorDiv(nowNanos, slotNanos));
        return sum;
    }

    WindowCounts windowed(long nowNanos) {
        int whole = sum(nowNanos);
        return whole == 0
                ? WindowCounts.NONE
                : new WindowCounts(
                        whole, between(newest - SLOTS / 2, newest), between(newest - SLOTS, newest - OLD_SLOTS));
    }

    private int between(long first, long last) {
        return LongStream.rangeClosed(first, last)
                .mapToInt(slot -> counts[place(slot)])
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
            sum -= counts[place(newest)];
            counts[place(newest)] = 0;
        }
    }

    private int place(long slot) {
        return (int) Math.floorMod(slot, (long) counts.length);
    }
}
