package org.parsleydrift.journal;

import java.util.List;

/**
 * The end of a journal. A seal is created at the next free sequence number, so the owner's next create-if-absent
 * request fails and the owner is fenced.
 *
 * @param sealedBy the node incarnation that created the seal; the owner itself after a drain
 * @param successors the incarnations that take over; each one takes over the programs whose hash selects its position;
 *     never empty
 */
public record Seal(String sealedBy, List<String> successors) {
    /** Makes a defensive copy of the list. */
    public Seal {
        successors = List.copyOf(successors);
    }

    /**
     * Returns the incarnation that takes over a program.
     *
     * @param programId the program's id as text
     * @return one of the successors
     */
    public String successorOf(String programId) {
        return successors.get(Math.floorMod(programId.hashCode(), successors.size()));
    }
}
