package org.parsleydrift.placement;

/** The charge of one request against its team's quota. */
public interface QuotaCharge {
    /** Charges the quota again for a retry; the first attempt may have run as well. */
    void chargeAgain();

    /** Reverts the latest charge of a request that no runner has run since or will run; only the first call counts. */
    void refund();
}
