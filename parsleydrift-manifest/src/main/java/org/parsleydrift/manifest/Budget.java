package org.parsleydrift.manifest;

/**
 * What one program may use, all its agents together (brief, "A program's budget holds").
 *
 * @param tokens generated tokens
 * @param turns model turns
 * @param calls tool calls
 * @param seconds elapsed seconds
 * @param depth levels of sub-agents below the root; 3 if absent
 * @param children sub-agents in all; 16 if absent
 * @param repeats identical calls in a row that count as a loop; 6 if absent
 */
public record Budget(long tokens, int turns, int calls, int seconds, Integer depth, Integer children, Integer repeats) {
    private static final int DEFAULT_DEPTH = 3;
    private static final int DEFAULT_CHILDREN = 16;
    private static final int DEFAULT_REPEATS = 6;

    /** Fills in defaults. */
    public Budget {
        depth = depth == null ? DEFAULT_DEPTH : depth;
        children = children == null ? DEFAULT_CHILDREN : children;
        repeats = repeats == null ? DEFAULT_REPEATS : repeats;
    }
}
