package org.parsleydrift.placement;

/**
 * A count over the allotment's window and over parts of it.
 *
 * @param whole in the window
 * @param late in the later half of it
 * @param leaving in the oldest fifth of it, which leaves next
 */
public record Windowed(int whole, int late, int leaving) {
    /** The part of the window that leaves next. */
    static final double LEAVING_PART = 0.2;
    /** Nothing. */
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

    /** Rounded up: most nodes have let one request of a small team pass or none. */
    static int scaled(int count, double share) {
        return (int) Math.ceil(count * share);
    }
}
