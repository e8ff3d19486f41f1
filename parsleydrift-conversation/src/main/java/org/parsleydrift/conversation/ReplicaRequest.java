package org.parsleydrift.conversation;

import java.util.List;
import java.util.Optional;

/** What is asked of a store VM. */
public sealed interface ReplicaRequest {
    /**
     * Keeps grants and a turn; answered once they are on disk.
     *
     * @param epoch the sender's epoch
     * @param keepMillis how long they are needed, ms
     * @param grants the grants
     * @param turn the turn, if there is one
     */
    record Write(long epoch, long keepMillis, List<Grant> grants, Optional<Turn> turn) implements ReplicaRequest {}

    /**
     * Reads a program's grants and the chain that ends with a turn.
     *
     * @param epoch the sender's epoch
     * @param program the program; empty for none
     * @param lastTurn the last turn of the chain; empty for none
     * @param texts whether what was said is wanted too, or only which turns there are
     */
    record Read(long epoch, String program, String lastTurn, boolean texts) implements ReplicaRequest {}

    /**
     * Reads single turns, whatever the epoch: a turn that is there is right.
     *
     * @param turns their ids
     */
    record Fetch(List<String> turns) implements ReplicaRequest {}

    /**
     * Asks for the keys of all that is held, to take it over into a new epoch.
     *
     * @param set the new set
     */
    record TakeOver(StoreSet set) implements ReplicaRequest {}

    /**
     * Tells of a set and asks how far the member is.
     *
     * @param set the newest set that the sender knows, if any
     */
    record Tell(Optional<StoreSet> set) implements ReplicaRequest {}
}
