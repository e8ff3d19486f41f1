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
    private final SlidingWindowCounter provisional;
    private final Demand newDemand = new Demand(DEMAND_WINDOW);
    private final Demand inProgressDemand = new Demand(DEMAND_WINDOW);

    TeamCounters(LongSupplier nanos, Duration window) {
        this.nanos = nanos;
        sent = new SlidingWindowCounter(window);
        planned = new SlidingWindowCounter(window);
        provisional = new SlidingWindowCounter(window);
    }

    long now() {
        return nanos.getAsLong();
    }

    void addSent(long atNanos, int count) {
        sent.add(atNanos, count);
    }

    void addPlanned(long atNanos, int requests) {
        planned.add(atNanos, requests);
    }

    /** Records a request that was admitted while the usage of the team was incomplete. */
    void addProvisional(long atNanos) {
        provisional.add(atNanos, 1);
    }

    int provisional(long nowNanos) {
        return provisional.sum(nowNanos);
    }

    Demand newDemand() {
        return newDemand;
    }

    Demand inProgressDemand() {
        return inProgressDemand;
    }

    TeamUsage usage() {
        long now = now();
        return new TeamUsage(
                sent.windowCounts(now), planned.windowCounts(now), newDemand.total(now), inProgressDemand.total(now));
    }
}
