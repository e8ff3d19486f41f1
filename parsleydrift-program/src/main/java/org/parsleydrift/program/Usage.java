package org.parsleydrift.program;

/**
 * The consumption of a program, which is charged against its budget.
 *
 * @param tokens the tokens generated, or charged for turns whose result was lost
 * @param turns the completed model turns
 * @param calls the completed tool calls
 * @param children the sub-agents started
 * @param lastCall the identity of the last call: tool and arguments; empty before the first call
 * @param repeats the number of consecutive calls with the identity {@code lastCall}
 */
public record Usage(long tokens, int turns, int calls, int children, String lastCall, int repeats) {
    /** The usage of a program that has just started. */
    public static final Usage NONE = new Usage(0, 0, 0, 0, "", 0);

    Usage withTurn(int turnTokens) {
        return new Usage(tokens + turnTokens, turns + 1, calls, children, lastCall, repeats);
    }

    Usage withLostTurn(int turnTokens) {
        return new Usage(tokens + turnTokens, turns, calls, children, lastCall, repeats);
    }

    Usage withCall(String call) {
        return new Usage(tokens, turns, calls + 1, children, call, call.equals(lastCall) ? repeats + 1 : 1);
    }

    Usage withChild() {
        return new Usage(tokens, turns, calls, children + 1, lastCall, repeats);
    }
}
