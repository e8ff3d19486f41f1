package org.parsleydrift.conversation;

/** Memory that is reserved for the texts of one chain while its next turn is under way. */
@FunctionalInterface
public interface ChainReservation {
    /** Releases the memory. Further calls have no effect. */
    void release();
}
