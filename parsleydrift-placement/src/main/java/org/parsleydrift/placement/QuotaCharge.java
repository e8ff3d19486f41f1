package org.parsleydrift.placement;

/** The charge of one request against its team's quota. */
public interface QuotaCharge {
    /**
     * Records that the request is being sent to a runner. The charge counts from now on for a whole window, as the request
     * may have waited since it was admitted.
     */
    void recordSend();

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    void chargeAgain();

    /** Reverts the latest charge of a request that no runner has run since or will run; only the first call counts. */
    void refund();
}
