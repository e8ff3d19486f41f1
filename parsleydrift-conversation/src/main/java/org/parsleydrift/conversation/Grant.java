package org.parsleydrift.conversation;

/**
 * A share of a program's token budget that is reserved for or was used by one request, and the prompt prefix that the
 * serving runner has cached since. Any entry node can use it to route the next request of the program to that runner.
 *
 * @param program the program
 * @param request the request ID
 * @param state the state of the grant
 * @param tokens the maximum number of tokens that the request may generate; once settled, the number it generated
 * @param runner the incarnation of the runner that served the request; empty if unknown
 * @param promptPart the ID of the last part of the request's prompt, which later turns extend; empty if unknown
 * @param cachedTokens the tokens cached on the runner up to and including the generated ones; 0 if unknown
 */
public record Grant(
        String program,
        String request,
        GrantState state,
        int tokens,
        String runner,
        String promptPart,
        int cachedTokens) {
    /** First character of the request of a grant that records an attempt at a runner; no request of a caller begins with it. */
    public static final char ATTEMPT_PREFIX = '\u0001';

    /**
     * Creates a grant without information on the cached prompt prefix.
     *
     * @param program the program
     * @param request the request ID
     * @param state the state of the grant
     * @param tokens the maximum number of tokens that the request may generate; once settled, the number it generated
     * @param runner the incarnation of the runner that served the request; empty if unknown
     */
    public Grant(String program, String request, GrantState state, int tokens, String runner) {
        this(program, request, state, tokens, runner, "", 0);
    }

    /**
     * Merges two replicas of one grant.
     *
     * @param other the other replica
     * @return the one with the later state; this one if the states are equal
     */
    public Grant merge(Grant other) {
        return other.isLaterThan(this) ? other : this;
    }

    /**
     * Returns whether the grant records an attempt at a runner and no tokens.
     *
     * @return true if it does
     */
    public boolean isAttempt() {
        return !request.isEmpty() && request.charAt(0) == ATTEMPT_PREFIX;
    }

    boolean isLaterThan(Grant other) {
        return state.compareTo(other.state) > 0;
    }

    /**
     * Returns the number of tokens that count against the budget.
     *
     * @return 0 for a released grant, else {@link #tokens}
     */
    public int countedTokens() {
        return state == GrantState.RELEASED ? 0 : tokens;
    }
}
