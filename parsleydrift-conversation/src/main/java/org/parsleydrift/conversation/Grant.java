package org.parsleydrift.conversation;

/**
 * Tokens of a program's budget that one request may generate or has generated, and what the runner that served it holds
 * since. Any entry node may get the program's next request; it finds here where the prompt need not be read again.
 *
 * @param program the program
 * @param request the id of the request
 * @param state how far the request is
 * @param tokens the most it may generate, or once settled what it generated
 * @param runner the life of the runner that served it; empty if none is known
 * @param promptPart the last part of its prompt, which the line of turns that it belongs to goes on to extend; empty for none
 * @param cachedTokens tokens of that part that the runner holds: those of the prompt and those that it generated
 */
public record Grant(
        String program,
        String request,
        GrantState state,
        int tokens,
        String runner,
        String promptPart,
        int cachedTokens) {
    /**
     * Makes a grant of which no more than its tokens is known.
     *
     * @param program the program
     * @param request the id of the request
     * @param state how far the request is
     * @param tokens the most it may generate, or once settled what it generated
     * @param runner the life of the runner that served it; empty if none is known
     */
    public Grant(String program, String request, GrantState state, int tokens, String runner) {
        this(program, request, state, tokens, runner, "", 0);
    }

    /**
     * Joins what two members know of one grant: a later state wins.
     *
     * @param other the other member's
     * @return the later of both
     */
    public Grant merge(Grant other) {
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
    public int countedTokens() {
        return state == GrantState.RELEASED ? 0 : tokens;
    }
}
