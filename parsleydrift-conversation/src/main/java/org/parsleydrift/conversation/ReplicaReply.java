package org.parsleydrift.conversation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A reply of a store VM. */
public sealed interface ReplicaReply {
    /** The write is on disk. */
    record Written() implements ReplicaReply {}

    /**
     * The requested records that the member holds.
     *
     * @param grants the grants of the program, in no order
     * @param turns the first of the turns found, as many as fit into a page; empty if only their IDs were requested
     * @param turnIds the IDs of the turns found, those of a chain newest first
     * @param origins the origins found of the streams
     * @param turnPrograms the programs of the turns in their order, each empty if unknown; empty from an earlier version
     * @param turnBytes the sizes of the texts of the turns in {@code turnIds}, bytes; empty if only IDs were requested, and
     *     from an earlier version
     */
    record Found(
            List<Grant> grants,
            List<Turn> turns,
            List<String> turnIds,
            List<StreamOrigin> origins,
            List<String> turnPrograms,
            List<Integer> turnBytes)
            implements ReplicaReply {
        /**
         * Creates a reply without origins of streams.
         *
         * @param grants the grants of the program, in no order
         * @param turns the turns found; empty if only their IDs were requested
         * @param turnIds the IDs of the turns found
         */
        public Found(List<Grant> grants, List<Turn> turns, List<String> turnIds) {
            this(grants, turns, turnIds, List.of(), List.of(), List.of());
        }
    }

    /**
     * Rejects a request of an earlier epoch than the member has adopted.
     *
     * @param set the newer set
     */
    record Stale(StoreSet set) implements ReplicaReply {}

    /** Rejects the reservation of a program that the member does not know, as it has no room for another one. */
    record Full() implements ReplicaReply {}

    /** Rejects a request of an epoch that the member has not adopted yet. */
    record Behind() implements ReplicaReply {}

    /** Rejects a request because the receiver lacks committed records of earlier epochs or is not in the set. */
    record Incomplete() implements ReplicaReply {}

    /**
     * A page of the list of all records that the member holds. The records of a program are not divided among pages.
     *
     * @param turnIds the IDs of its turns
     * @param grants its grants
     * @param origins its origins of streams
     * @param originPrograms the programs of the origins in their order, each empty if unknown; empty from an earlier
     *     version
     * @param lives for how long the records of each program are kept, ms; empty from an earlier version
     * @param chains the chains that programs have inherited; empty from an earlier version
     * @param heirs the last turns of the chains that each program has inherited; empty from an earlier version
     * @param lastProgram the program after which the next page begins; empty on the last page, and from an earlier version,
     *     which sends all records on one
     */
    record RecordList(
            List<String> turnIds,
            List<Grant> grants,
            List<StreamOrigin> origins,
            List<String> originPrograms,
            Map<String, Long> lives,
            List<InheritedChain> chains,
            Map<String, List<String>> heirs,
            Optional<String> lastProgram)
            implements ReplicaReply {
        /** Returns the inherited chains as records of the programs that have inherited them. */
        Stream<ProgramRecords> inheritedRecords() {
            Map<String, InheritedChain> byLastTurn =
                    chains.stream().collect(Collectors.toMap(InheritedChain::lastTurn, Function.identity()));
            return heirs.entrySet().stream()
                    .map(each -> new ProgramRecords(
                            each.getKey(),
                            List.of(),
                            List.of(),
                            List.of(),
                            each.getValue().stream().map(byLastTurn::get).toList()));
        }
    }

    /**
     * The epochs that the member has adopted and completed.
     *
     * @param name the VM name
     * @param diskId the random ID of the data on its disk
     * @param adoptedEpoch the epoch that it has adopted; 0 for none
     * @param completeEpoch the latest epoch at which it held all committed records of earlier epochs; 0 for none
     */
    record Progress(String name, String diskId, long adoptedEpoch, long completeEpoch) implements ReplicaReply {}
}
