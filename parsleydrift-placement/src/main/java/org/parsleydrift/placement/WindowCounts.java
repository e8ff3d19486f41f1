package org.parsleydrift.placement;

/**
 * Request counts over the sliding window of the quotas and over parts of it.
 *
 * @param total requests in the whole window
 * @param recent requests in its recent half
 * @param expiring requests in its oldest fifth, which expire next
 */
public record WindowCounts(int total, int recent, int expiring) {
    /** Share of the window that counts as expiring. */
    static final double EXPIRING_FRACTION = 0.2;
    /** All counts 0. */
    public static final WindowCounts NONE = new WindowCounts(0, 0, 0);

    WindowCounts plus(WindowCounts other) {
        return new WindowCounts(total + other.total, recent + other.recent, expiring + other.expiring);
    }

    WindowCounts minus(WindowCounts part) {
        return new WindowCounts(
                Math.max(0, total - part.total),
                Math.max(0, recent - part.recent),
                Math.max(0, expiring - part.expiring));
    }

    WindowCounts max(WindowCounts other) {
        return new WindowCounts(
                Math.max(total, other.total), Math.max(recent, other.recent), Math.max(expiring, other.expiring));
    }

    WindowCounts scale(double share) {
        return new WindowCounts(scaleUp(total, share), scaleUp(recent, share), scaleUp(expiring, share));
    }

    /** Scales a count, rounding up, since the counts of a small team at one node are 0 or 1. */
    static int scaleUp(int count, double share) {
        return (int) Math.ceil(count * share);
    }
}
