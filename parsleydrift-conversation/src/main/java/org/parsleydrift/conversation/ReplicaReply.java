package org.parsleydrift.conversation;

import java.util.List;

/** What a store VM answers. */
public sealed interface ReplicaReply {
    /** The write is on disk. */
    record Written() implements ReplicaReply {}

    /**
     * What the member holds.
     *
     * @param grants the program's grants
     * @param turns turns of the chain, as far as the member holds them and their texts were asked for
     * @param turnIds ids of all turns of the chain that it holds
     */
    record Found(List<Grant> grants, List<Turn> turns, List<String> turnIds) implements ReplicaReply {
        static Found of(List<Grant> grants, List<Turn> turns) {
            return new Found(grants, turns, turns.stream().map(Turn::id).toList());
        }
    }

    /**
     * The sender's epoch is over.
     *
     * @param set the newer set
     */
    record Stale(StoreSet set) implements ReplicaReply {}

    /** The member has not adopted the sender's epoch yet. */
    record Behind() implements ReplicaReply {}

    /** The member has not yet taken over what was written before; it can't say what there is. */
    record Incomplete() implements ReplicaReply {}

    /**
     * Keys of all that the member holds.
     *
     * @param turns ids of turns
     * @param grants grants
     */
    record Keys(List<String> turns, List<Grant> grants) implements ReplicaReply {}

    /**
     * How far the member is.
     *
     * @param name the VM's name
     * @param disk the id of its data
     * @param adoptedEpoch the epoch that it has adopted; 0 for none
     * @param completeEpoch the epoch up to which it holds all that was written before it
     */
    record Progress(String name, String disk, long adoptedEpoch, long completeEpoch) implements ReplicaReply {}
}
