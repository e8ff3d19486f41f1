package org.parsleydrift.program;

/**
 * Tokens of one program: the limit, what is spent, and what is reserved for turns under way. A value.
 *
 * @param limit tokens in all
 * @param spent tokens settled
 * @param reserved tokens of turns that have not ended
 */
public record BudgetLedger(long limit, long spent, long reserved) {
    /**
     * Checks that the budget holds.
     *
     * @throws IllegalStateException if more is spent and reserved than the limit, which would be a fault of ours
     */
    public BudgetLedger {
        if (spent < 0 || reserved < 0) {
            throw new IllegalStateException("spent " + spent + " reserved " + reserved);
        }
    }

    /**
     * How much a turn may reserve.
     *
     * @param wanted the most tokens of the turn
     * @return the lesser of this and what is left; 0 if nothing is left
     */
    public int grant(int wanted) {
        return (int) Math.max(0, Math.min(wanted, limit - spent - reserved));
    }

    /**
     * Reserves tokens.
     *
     * @param tokens a number that {@link #grant} gave
     * @return the ledger after
     */
    public BudgetLedger reserve(int tokens) {
        return new BudgetLedger(limit, spent, reserved + tokens);
    }

    /**
     * Settles a reservation.
     *
     * @param held what was reserved
     * @param used what was spent of it
     * @return the ledger after
     */
    public BudgetLedger settle(int held, int used) {
        return new BudgetLedger(limit, spent + used, reserved - held);
    }
}
