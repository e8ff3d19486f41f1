package org.parsleydrift.journal;

import java.util.List;

/**
 * The end of a journal, created at its next free sequence number. Whoever creates it has taken the right to write away
 * from the owner: the owner's own next create fails there.
 *
 * @param sealedBy the node incarnation that created it; the owner itself after a drain
 * @param successors incarnations that take over, each the programs that hash to its position; never empty
 */
public record Seal(String sealedBy, List<String> successors) {
    /** Copies the list. */
    public Seal {
        successors = List.copyOf(successors);
    }

    /**
     * The incarnation that takes over a program.
     *
     * @param programText the program's id as text
     * @return one of the successors
     */
    public String successorOf(String programText) {
        return successors.get(Math.floorMod(programText.hashCode(), successors.size()));
    }
}
