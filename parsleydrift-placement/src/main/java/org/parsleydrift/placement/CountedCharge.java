package org.parsleydrift.placement;

import java.util.function.Supplier;

/** A charge in the counters of this node. */
final class CountedCharge implements QuotaCharge {
    private final Supplier<TeamCounters> counters;
    private final long plannedNanos;
    private long chargedNanos;
    private int plannedRequests;
    private boolean charged = true;

    /**
     * Counts a request.
     *
     * @param counters returns the counters of its team, which are replaced once they were unused for a window
     * @param plannedRequests expected requests of the program that it starts, including itself; 0 if it starts none
     */
    CountedCharge(Supplier<TeamCounters> counters, int plannedRequests) {
        this.counters = counters;
        TeamCounters present = counters.get();
        this.plannedNanos = present.now();
        this.chargedNanos = plannedNanos;
        this.plannedRequests = plannedRequests;
        present.addSent(chargedNanos, 1);
        present.addPlanned(plannedNanos, plannedRequests);
    }

    @Override
    public void recordSend() {
        TeamCounters present = counters.get();
        long now = present.now();
        present.addSent(now, 1);
        // Comes second, so that it has no effect if the charge has expired.
        present.addSent(chargedNanos, -1);
        chargedNanos = now;
    }

    @Override
    public void chargeAgain() {
        TeamCounters present = counters.get();
        chargedNanos = present.now();
        plannedRequests = 0;
        present.addSent(chargedNanos, 1);
    }

    @Override
    public void refund() {
        if (charged) {
            charged = false;
            counters.get().addSent(chargedNanos, -1);
            counters.get().addPlanned(plannedNanos, -plannedRequests);
        }
    }
}
