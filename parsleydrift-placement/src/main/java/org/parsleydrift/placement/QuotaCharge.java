package org.parsleydrift.placement;

/** The charge of one request against its team's quota. */
public final class QuotaCharge {
    private final TeamCounts counts;
    private long takenNanos;
    private boolean taken = true;

    QuotaCharge(TeamCounts counts, long takenNanos) {
        this.counts = counts;
        this.takenNanos = takenNanos;
    }

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    public void chargeAgain() {
        takenNanos = counts.now();
        counts.ran(takenNanos, 1);
    }

    /** Reverts the latest charge of a request that no runner has run since or will run; only the first call counts. */
    public void refund() {
        if (taken) {
            taken = false;
            counts.ran(takenNanos, -1);
        }
    }
}
