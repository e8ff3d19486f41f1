package org.parsleydrift.program;

/**
 * Token accounting of one program: the limit, the tokens spent, and the tokens reserved for turns in progress.
 * Immutable.
 *
 * @param limit the token limit of the program
 * @param spent the tokens spent by turns that have ended
 * @param reserved the tokens reserved for turns that have not ended
 */
public record BudgetLedger(long limit, long spent, long reserved) {
    /**
     * Checks that no count is negative.
     *
     * @throws IllegalStateException if the spent or the reserved tokens are negative
     */
    public BudgetLedger {
        if (spent < 0 || reserved < 0) {
            throw new IllegalStateException("negative token count: spent " + spent + ", reserved " + reserved);
        }
    }

    /**
     * Returns the number of tokens that a turn may reserve.
     *
     * @param requested the maximum number of tokens of the turn
     * @return the smaller of {@code wanted} and the tokens left; 0 if none are left
     */
    public int grant(int requested) {
        return (int) Math.max(0, Math.min(requested, limit - spent - reserved));
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param tokens the number of tokens returned by {@link #grant}
     * @return the updated ledger
     */
    public BudgetLedger reserve(int tokens) {
        return new BudgetLedger(limit, spent, reserved + tokens);
    }

    /**
     * Releases the reservation of a turn and charges the tokens that it used.
     *
     * @param reservedTokens the tokens reserved for the turn
     * @param usedTokens the tokens used by the turn
     * @return the updated ledger
     */
    public BudgetLedger settle(int reservedTokens, int usedTokens) {
        return new BudgetLedger(limit, spent + usedTokens, reserved - reservedTokens);
    }
}
