package org.parsleydrift.placement;

/** The charge of one request against its team's quota. */
public final class AllottedPlace {
    private final TeamCounts counts;
    private long takenNanos;
    private boolean taken = true;

    AllottedPlace(TeamCounts counts, long takenNanos) {
        this.counts = counts;
        this.takenNanos = takenNanos;
    }

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    public void again() {
        takenNanos = counts.now();
        counts.ran(takenNanos, 1);
    }

    /** Reverts the latest charge of a request that no runner has run since or will run; only the first call counts. */
    public void giveBack() {
        if (taken) {
            taken = false;
            counts.ran(takenNanos, -1);
        }
    }
}
