package org.parsleydrift.conversation;

import java.util.List;
import java.util.stream.Stream;

/**
 * Records that belong to one program and expire together.
 *
 * @param program the program; empty if it is not known
 * @param grants its grants
 * @param turns its turns
 * @param origins the origins of its streams
 * @param chains the chains that it has inherited from other programs
 */
record ProgramRecords(
        String program, List<Grant> grants, List<Turn> turns, List<StreamOrigin> origins, List<InheritedChain> chains) {
    /** Copies the lists. */
    ProgramRecords {
        grants = List.copyOf(grants);
        turns = List.copyOf(turns);
        origins = List.copyOf(origins);
        chains = List.copyOf(chains);
    }

    /** Creates records without inherited chains. */
    ProgramRecords(String program, List<Grant> grants, List<Turn> turns, List<StreamOrigin> origins) {
        this(program, grants, turns, origins, List.of());
    }

    /** Returns the records of a write, whose lineage or grants name the program. */
    static ProgramRecords of(ReplicaRequest.Write write) {
        return new ProgramRecords(
                Stream.concat(
                                write.lineage().stream().map(TurnLineage::program),
                                write.grants().stream().map(Grant::program))
                        .findFirst()
                        .orElse(""),
                write.grants(),
                write.turn().stream().toList(),
                write.origin().stream().toList(),
                write.lineage().flatMap(TurnLineage::inherited).stream().toList());
    }
}
