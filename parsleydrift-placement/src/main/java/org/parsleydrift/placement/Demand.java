package org.parsleydrift.placement;

import java.time.Duration;

/** Recent demand of a team at one node, in requests. */
final class Demand {
    private final SlidingWindowCounter total;
    private final SlidingWindowCounter met;

    Demand(Duration window) {
        total = new SlidingWindowCounter(window);
        met = new SlidingWindowCounter(window);
    }

    void add(long atNanos, int requests) {
        total.add(atNanos, requests);
    }

    void addMet(long atNanos, int requests) {
        met.add(atNanos, requests);
    }

    int total(long nowNanos) {
        return total.sum(nowNanos);
    }

    int unmet(long nowNanos) {
        return total.sum(nowNanos) - met.sum(nowNanos);
    }
}
