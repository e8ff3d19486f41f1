package org.parsleydrift.node.host;

import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.program.AgentState;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramState;

/** Writes whole program states into a journal, in pieces that fit a segment. */
final class Snapshots {
    private static final int PIECE_CHARACTERS = 128 * 1024;

    private Snapshots() {}

    static void append(JournalWriter journal, LiveProgram live) {
        ProgramState state = live.state().over() ? live.state().condensed() : live.state();
        state.agents().values().stream()
                .flatMap(agent -> pieces(state, agent).stream())
                .forEach(piece -> journal.append(MessagePackCodec.encode(piece)));
        ProgramState bare = state.mapAgents(agent -> agent.withHistory(List.of()));
        live.journaled(journal.append(
                MessagePackCodec.encode(new JournalRecord.OfProgram(state.id(), new ProgramEvent.Restored(bare)))));
    }

    private static List<JournalRecord> pieces(ProgramState state, AgentState agent) {
        List<JournalRecord> pieces = new ArrayList<>();
        List<HistoryEntry> piece = new ArrayList<>();
        int characters = 0;
        for (HistoryEntry entry : agent.history()) {
            if (!piece.isEmpty() && characters + entry.text().length() > PIECE_CHARACTERS) {
                pieces.add(new JournalRecord.HistoryPart(state.id(), agent.path(), List.copyOf(piece)));
                piece.clear();
                characters = 0;
            }
            piece.add(entry);
            characters += entry.text().length();
        }
        if (!piece.isEmpty()) {
            pieces.add(new JournalRecord.HistoryPart(state.id(), agent.path(), List.copyOf(piece)));
        }
        return pieces;
    }
}
