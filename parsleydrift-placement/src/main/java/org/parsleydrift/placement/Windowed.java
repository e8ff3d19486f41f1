package org.parsleydrift.placement;

/**
 * Request counts over the sliding window of the quotas and over parts of it.
 *
 * @param whole requests in the whole window
 * @param late requests in its recent half
 * @param leaving requests in its oldest fifth, which expire next
 */
public record Windowed(int whole, int late, int leaving) {
    /** Share of the window that counts as expiring. */
    static final double LEAVING_PART = 0.2;
    /** All counts 0. */
    public static final Windowed NONE = new Windowed(0, 0, 0);

    Windowed plus(Windowed other) {
        return new Windowed(whole + other.whole, late + other.late, leaving + other.leaving);
    }

    Windowed minus(Windowed part) {
        return new Windowed(
                Math.max(0, whole - part.whole), Math.max(0, late - part.late), Math.max(0, leaving - part.leaving));
    }

    Windowed most(Windowed other) {
        return new Windowed(Math.max(whole, other.whole), Math.max(late, other.late), Math.max(leaving, other.leaving));
    }

    Windowed times(double share) {
        return new Windowed(scaled(whole, share), scaled(late, share), scaled(leaving, share));
    }

    /** Scales a count, rounding up, since the counts of a small team at one node are 0 or 1. */
    static int scaled(int count, double share) {
        return (int) Math.ceil(count * share);
    }
}
