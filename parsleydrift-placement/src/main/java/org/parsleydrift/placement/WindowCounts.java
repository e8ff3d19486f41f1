package org.parsleydrift.placement;

/**
 * A count over the allotment's window and over parts of it.
 *
 * @param total in the window
 * @param recent in the later half of it
 * @param expiring in the oldest fifth of it, which leaves next
 */
public record WindowCounts(int total, int recent, int expiring) {
    /** The part of the window that leaves next. */
    static final double LEAVING_PART = 0.2;
    /** Nothing. */
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

    WindowCounts most(WindowCounts other) {
        return new WindowCounts(
                Math.max(total, other.total), Math.max(recent, other.recent), Math.max(expiring, other.expiring));
    }

    WindowCounts times(double share) {
        return new WindowCounts(scaled(total, share), scaled(recent, share), scaled(expiring, share));
    }

    /** Rounded up: most nodes have let one request of a small team pass or none. */
    static int scaled(int count, double share) {
        return (int) Math.ceil(count * share);
    }
}
