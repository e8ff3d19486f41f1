package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;

/** The outcome of a request to begin a turn. */
public sealed interface BeginResult {
    /**
     * The turn may run; if its program has a budget, its tokens are reserved.
     *
     * @param chain the preceding turns of the conversation, oldest first
     * @param settled the settled grants of the program, in no order
     * @param resumedOrigin the origin of the stream that the turn continues; empty if it is unknown or there is none
     * @param lineage the lineage of the turn, with which it is to be committed
     * @param attempts the grants of the program that record attempts at runners, in no order
     * @param chainMemory the memory of the chain, to be released when the turn has ended
     */
    record Granted(
            List<Turn> chain,
            List<Grant> settled,
            Optional<StreamOrigin> resumedOrigin,
            TurnLineage lineage,
            List<Grant> attempts,
            ChainReservation chainMemory)
            implements BeginResult {}

    /**
     * The rest of the token budget is smaller than the maximum number of tokens of the turn.
     *
     * @param countedTokens the tokens already counted against the budget
     * @param generatedTokens the part of these tokens that belongs to settled grants; the rest is reserved
     */
    record BudgetSpent(int countedTokens, int generatedTokens) implements BeginResult {}

    /** The preceding turn does not exist at any member of a read quorum. */
    record NoSuchTurn() implements BeginResult {}

    /**
     * No quorum of the store VMs answered, or a turn of the chain is missing.
     *
     * @param reason the error message, for logs
     */
    record Unavailable(String reason) implements BeginResult {}
}
