package org.parsleydrift.manifest;

/**
 * The limits of one program, which apply to the total of all its agents.
 *
 * @param tokens the maximum number of generated tokens
 * @param turns the maximum number of model turns
 * @param calls the maximum number of tool calls
 * @param seconds the maximum elapsed time in seconds
 * @param depth the maximum number of levels of sub-agents below the root agent; 3 if absent
 * @param children the maximum number of sub-agents; 16 if absent
 * @param repeats the number of consecutive identical calls that count as a loop; 6 if absent
 */
public record Budget(long tokens, int turns, int calls, int seconds, Integer depth, Integer children, Integer repeats) {
    private static final int DEFAULT_DEPTH = 3;
    private static final int DEFAULT_CHILDREN = 16;
    private static final int DEFAULT_REPEATS = 6;

    /** Replaces absent limits by their defaults. */
    public Budget {
        depth = depth == null ? DEFAULT_DEPTH : depth;
        children = children == null ? DEFAULT_CHILDREN : children;
        repeats = repeats == null ? DEFAULT_REPEATS : repeats;
    }
}
