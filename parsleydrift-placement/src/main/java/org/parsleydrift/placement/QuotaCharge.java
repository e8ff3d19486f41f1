package org.parsleydrift.placement;

/** The charge of one request against its team's quota. */
public final class QuotaCharge {
    private final TeamCounters counters;
    private long chargedNanos;
    private boolean charged = true;

    QuotaCharge(TeamCounters counters, long chargedNanos) {
        this.counters = counters;
        this.chargedNanos = chargedNanos;
    }

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    public void chargeAgain() {
        chargedNanos = counters.now();
        counters.addSent(chargedNanos, 1);
    }

    /** Reverts the latest charge of a request that no runner has run since or will run; only the first call counts. */
    public void refund() {
        if (charged) {
            charged = false;
            counters.addSent(chargedNanos, -1);
        }
    }
}
