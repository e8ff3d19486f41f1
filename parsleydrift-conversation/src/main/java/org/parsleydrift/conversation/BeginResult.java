package org.parsleydrift.conversation;

import java.util.List;

/** Whether a turn may run. */
public sealed interface BeginResult {
    /**
     * It may run; its tokens are reserved.
     *
     * @param chain earlier turns, oldest first
     * @param settled grants of the program's turns that ended whole, in no order
     */
    record Granted(List<Turn> chain, List<Grant> settled) implements BeginResult {}

    /**
     * The budget does not hold the turn at its most.
     *
     * @param countedTokens tokens that count already
     * @param generatedTokens those among them of turns that ended whole; the rest is reserved or broke off
     */
    record BudgetSpent(int countedTokens, int generatedTokens) implements BeginResult {}

    /** The turn that it goes on from does not exist; said only on the word of a read quorum. */
    record NoSuchTurn() implements BeginResult {}

    /**
     * Not enough store VMs answered.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements BeginResult {}
}
