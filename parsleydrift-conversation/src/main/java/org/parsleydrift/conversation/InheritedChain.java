package org.parsleydrift.conversation;

import java.util.List;

/**
 * The first part of a program's chain, up to the last turn in it that another program has written.
 *
 * @param lastTurn the ID of that last turn
 * @param turnIds the IDs of all turns of the part, oldest first
 */
public record InheritedChain(String lastTurn, List<String> turnIds) {
    /** Copies the list. */
    public InheritedChain {
        turnIds = List.copyOf(turnIds);
    }
}
