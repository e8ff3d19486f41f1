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
     * An event of a program.
     *
     * @param id the program
     * @param event the event
     */
    record OfProgram(ProgramId id, ProgramEvent event) implements JournalRecord {}

    /**
     * A part of an agent's history. The parts precede the {@link ProgramEvent.Restored} or {@link TakenIn} record that
     * they belong to. Older records stay valid until that record is durable, so a crash in between loses no history.
     *
     * @param id the program
     * @param path path of the agent within the program
     * @param entries consecutive history entries
     */
    record HistoryPart(ProgramId id, String path, List<HistoryEntry> entries) implements JournalRecord {}

    /**
     * State of a program in a share that is being adopted; ignored unless {@link Adopted} follows.
     *
     * @param share text of the share's id
     * @param state the program's state without histories
     */
    record TakenIn(String share, ProgramState state) implements JournalRecord {}

    /**
     * Adoption marker: all programs of a share precede it in this journal.
     *
     * @param share text of the share's id
     */
    record Adopted(String share) implements JournalRecord {}

    /** Empty record, written to verify that the journal is not sealed. */
    record Probe() implements JournalRecord {}
}
