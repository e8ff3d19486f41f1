package org.parsleydrift.node.host;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;

/** A record of a node's journal. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JournalRecord.OfProgram.class, name = "p"),
    @JsonSubTypes.Type(value = JournalRecord.HistoryPart.class, name = "h"),
    @JsonSubTypes.Type(value = JournalRecord.TakenIn.class, name = "t"),
    @JsonSubTypes.Type(value = JournalRecord.Adopted.class, name = "a"),
    @JsonSubTypes.Type(value = JournalRecord.Probe.class, name = "n")
})
public sealed interface JournalRecord {
    /**
     * Something happened to a program.
     *
     * @param id the program
     * @param event what happened
     */
    record OfProgram(ProgramId id, ProgramEvent event) implements JournalRecord {}

    /**
     * A piece of an agent's history. The pieces of a program come before the {@link ProgramEvent.Restored} that they
     * belong to: until that one is durable the older records stay in force, so no crash between the pieces can shorten
     * a history.
     *
     * @param id the program
     * @param path the agent
     * @param entries the piece
     */
    record HistoryPart(ProgramId id, String path, List<HistoryEntry> entries) implements JournalRecord {}

    /**
     * A program of a share that is being taken in; it counts only once {@link Adopted} follows.
     *
     * @param share the share
     * @param state the program's state, histories apart
     */
    record TakenIn(String share, ProgramState state) implements JournalRecord {}

    /**
     * All programs of a share are durable in this journal.
     *
     * @param share the share
     */
    record Adopted(String share) implements JournalRecord {}

    /** Nothing; written to learn whether the journal still belongs to this node. */
    record Probe() implements JournalRecord {}
}
