package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.LongStream;

/**
 * A count over the last span of time, kept in slots. A slot leaves as a whole, when all of it is older than the span: the
 * count is never less than the true one, and by a slot's worth more at most.
 */
final class SlidingCount {
    private static final int SLOTS = 50;
    /** Slots of this age and above leave next. */
    private static final int OLD_SLOTS = SLOTS - (int) (SLOTS * WindowCounts.LEAVING_PART);

    private final long slotNanos;
    private final int[] counts = new int[SLOTS + 1];
    private long newest = Long.MIN_VALUE;
    private int sum;

    SlidingCount(Duration span) {
        slotNanos = Math.max(1, span.toNanos() / SLOTS);
    }

    /** Adds to the count of a moment, or takes off; one that has left already is passed over. */
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

    /** The sum, and those of its parts. */
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
