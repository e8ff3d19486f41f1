package org.parsleydrift.conversation;

/**
 * Tokens of a program's budget that one request may generate or has generated.
 *
 * @param program the program
 * @param request the id of the request
 * @param state how far the request is
 * @param tokens the most it may generate, or once settled what it generated
 * @param runner the runner that served it; empty if none is known
 */
public record Grant(String program, String request, GrantState state, int tokens, String runner) {
    /**
     * Joins what two members know of one grant: a later state wins.
     *
     * @param other the other member's
     * @return the later of both
     */
    public Grant join(Grant other) {
        return other.laterThan(this) ? other : this;
    }

    boolean laterThan(Grant other) {
        return state.compareTo(other.state) > 0;
    }

    /**
     * What counts against the budget.
     *
     * @return tokens
     */
    public int counted() {
        return state == GrantState.RELEASED ? 0 : tokens;
    }
}
