package org.parsleydrift.program;

/**
 * What a program has used of its budget.
 *
 * @param tokens tokens generated, or charged for turns whose result was lost
 * @param turns model turns that ended
 * @param calls tool calls
 * @param children sub-agents started
 * @param lastCall the last call, tool and arguments
 * @param repeats how many times in a row the last call was made
 */
public record Usage(long tokens, int turns, int calls, int children, String lastCall, int repeats) {
    /** Nothing used. */
    public static final Usage NONE = new Usage(0, 0, 0, 0, "", 0);

    Usage turn(int spent) {
        return new Usage(tokens + spent, turns + 1, calls, children, lastCall, repeats);
    }

    Usage lost(int spent) {
        return new Usage(tokens + spent, turns, calls, children, lastCall, repeats);
    }

    Usage call(String call) {
        return new Usage(tokens, turns, calls + 1, children, call, call.equals(lastCall) ? repeats + 1 : 1);
    }

    Usage child() {
        return new Usage(tokens, turns, calls, children + 1, lastCall, repeats);
    }
}
