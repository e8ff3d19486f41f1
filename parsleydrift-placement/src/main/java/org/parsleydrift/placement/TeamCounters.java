package org.parsleydrift.placement;

import java.time.Duration;
import java.util.function.LongSupplier;

/** Counters of one team's requests at this node. */
final class TeamCounters {
    /**
     * Window over which demand is measured: short compared with a burst, but long enough for some requests of a small
     * team.
     */
    static final Duration DEMAND_WINDOW = Duration.ofMillis(500);

    private final LongSupplier nanos;
    private final SlidingWindowCounter sent;
    private final SlidingWindowCounter planned;
    private final SlidingWindowCounter newDemand = new SlidingWindowCounter(DEMAND_WINDOW);
    private final SlidingWindowCounter inProgressDemand = new SlidingWindowCounter(DEMAND_WINDOW);

    TeamCounters(LongSupplier nanos, Duration window) {
        this.nanos = nanos;
        sent = new SlidingWindowCounter(window);
        planned = new SlidingWindowCounter(window);
    }

    long now() {
        return nanos.getAsLong();
    }

    void addSent(long atNanos, int count) {
        sent.add(atNanos, count);
    }

    void addPlanned(int requests) {
        planned.add(now(), requests);
    }

    void addNewDemand(int requests) {
        newDemand.add(now(), requests);
    }

    void addInProgressDemand() {
        inProgressDemand.add(now(), 1);
    }

    TeamUsage usage() {
        long now = now();
        return new TeamUsage(
                sent.windowCounts(now), planned.windowCounts(now), newDemand.sum(now), inProgressDemand.sum(now));
    }
}
