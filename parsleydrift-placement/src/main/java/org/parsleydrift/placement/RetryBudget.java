package org.parsleydrift.placement;

/**
 * Limits the retries that one service gets from this node to a share of its first attempts, plus a small reserve.
 * Isolated failures are retried, while a service that fails as a whole is not overloaded further by retries.
 */
public final class RetryBudget {
    /** Retries earned by each first attempt. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    /** Maximum and initial balance, retries; about as many as one failing runner interrupts. */
    private static final double MAX_BALANCE = 10;

    private double balance = MAX_BALANCE;

    /** Credits the budget for a request that is sent to its first runner. */
    public void recordFirstAttempt() {
        balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_FIRST_ATTEMPT);
    }

    /**
     * Consumes one retry if the balance allows it.
     *
     * @return whether the request may be retried
     */
    public boolean tryAcquire() {
        boolean granted = balance >= 1;
        if (granted) {
            balance--;
        }
        return granted;
    }
}
