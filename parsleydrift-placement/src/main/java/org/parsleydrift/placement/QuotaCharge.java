package org.parsleydrift.placement;

/** What one request takes of its team's allotment. */
public final class QuotaCharge {
    private final TeamCounts counts;
    private long takenNanos;
    private boolean taken = true;

    QuotaCharge(TeamCounts counts, long takenNanos) {
        this.counts = counts;
        this.takenNanos = takenNanos;
    }

    /** The request goes to one more runner, and the one before may have run it. */
    public void chargeAgain() {
        takenNanos = counts.now();
        counts.ran(takenNanos, 1);
    }

    /** No runner has run it since it was counted last, or will. */
    public void refund() {
        if (taken) {
            taken = false;
            counts.ran(takenNanos, -1);
        }
    }
}
