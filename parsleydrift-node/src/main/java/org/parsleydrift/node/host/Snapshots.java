package org.parsleydrift.node.host;

import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.program.AgentState;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramState;

/** Writes complete program states to a journal, with histories split into chunks that fit a segment. */
final class Snapshots {
    private static final int CHUNK_CHARACTERS = 128 * 1024;

    private Snapshots() {}

    /** Rewrites the state of a program that this journal already contains. */
    static void append(JournalWriter journal, LiveProgram live) {
        ProgramState withoutHistories = appendHistories(journal, live.state());
        live.setLastEntry(journal.append(MessagePackCodec.encode(
                new JournalRecord.OfProgram(withoutHistories.id(), new ProgramEvent.Restored(withoutHistories)))));
    }

    /** Writes the state of a program in a share that is being adopted. */
    static void appendTakenIn(JournalWriter journal, String share, ProgramState state) {
        ProgramState withoutHistories = appendHistories(journal, state);
        journal.append(MessagePackCodec.encode(new JournalRecord.TakenIn(share, withoutHistories)));
    }

    private static ProgramState appendHistories(JournalWriter journal, ProgramState complete) {
        ProgramState state = complete.hasEnded() ? complete.compacted() : complete;
        state.agents().values().stream()
                .flatMap(agent -> chunks(state, agent).stream())
                .forEach(piece -> journal.append(MessagePackCodec.encode(piece)));
        return state.mapAgents(agent -> agent.withHistory(List.of()));
    }

    private static List<JournalRecord> chunks(ProgramState state, AgentState agent) {
        List<JournalRecord> chunks = new ArrayList<>();
        List<HistoryEntry> chunk = new ArrayList<>();
        int characters = 0;
        for (HistoryEntry entry : agent.history()) {
            if (!chunk.isEmpty() && characters + entry.text().length() > CHUNK_CHARACTERS) {
                chunks.add(new JournalRecord.HistoryPart(state.id(), agent.path(), List.copyOf(chunk)));
                chunk.clear();
                characters = 0;
            }
            chunk.add(entry);
            characters += entry.text().length();
        }
        if (!chunk.isEmpty()) {
            chunks.add(new JournalRecord.HistoryPart(state.id(), agent.path(), List.copyOf(chunk)));
        }
        return chunks;
    }
}
