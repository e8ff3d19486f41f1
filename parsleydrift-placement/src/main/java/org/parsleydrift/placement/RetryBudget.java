package org.parsleydrift.placement;

/**
 * Limits the retries that one service or store VM gets from this node to a share of its first attempts, plus a small
 * reserve. Isolated failures are retried, while a service that fails as a whole is not overloaded further by retries.
 */
public final class RetryBudget {
    /**
     * Retries earned by each first attempt. Runners that lose responses lose a few in a hundred; a tenth makes up for
     * these and adds no more than that to the load of a service that fails as a whole.
     */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;
    /** Maximum and initial balance for a service, retries; about as many as one failing runner interrupts. */
    private static final double SERVICE_RESERVE = 10;

    private final double maxBalance;
    private double balance;

    /** Creates the budget of a service. */
    public RetryBudget() {
        this(SERVICE_RESERVE);
    }

    /**
     * Creates a budget with a full reserve.
     *
     * @param reserve the maximum and initial balance, retries
     */
    public RetryBudget(double reserve) {
        maxBalance = reserve;
        balance = reserve;
    }

    /** Credits the budget for a request that is sent to its first runner. */
    public void recordFirstAttempt() {
        balance = Math.min(maxBalance, balance + RETRIES_PER_FIRST_ATTEMPT);
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
