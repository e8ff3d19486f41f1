package org.parsleydrift.placement;

/** A charge in the counters of this node. */
final class CountedCharge implements QuotaCharge {
    private final TeamCounters counters;
    private final long plannedNanos;
    private long chargedNanos;
    private int plannedRequests;
    private boolean charged = true;

    /**
     * Counts a request.
     *
     * @param counters counters of its team
     * @param plannedRequests expected requests of the program that it starts, including itself; 0 if it starts none
     */
    CountedCharge(TeamCounters counters, int plannedRequests) {
        this.counters = counters;
        this.plannedNanos = counters.now();
        this.chargedNanos = plannedNanos;
        this.plannedRequests = plannedRequests;
        counters.addSent(chargedNanos, 1);
        counters.addPlanned(plannedNanos, plannedRequests);
    }

    @Override
    public void recordSend() {
        long now = counters.now();
        counters.addSent(chargedNanos, -1);
        counters.addSent(now, 1);
        chargedNanos = now;
    }

    @Override
    public void chargeAgain() {
        chargedNanos = counters.now();
        plannedRequests = 0;
        counters.addSent(chargedNanos, 1);
    }

    @Override
    public void refund() {
        if (charged) {
            charged = false;
            counters.addSent(chargedNanos, -1);
            counters.addPlanned(plannedNanos, -plannedRequests);
        }
    }
}
