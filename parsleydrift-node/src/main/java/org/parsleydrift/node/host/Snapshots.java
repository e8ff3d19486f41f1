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

    /** Writes the state of a program of this journal again. */
    static void append(JournalWriter journal, LiveProgram live) {
        ProgramState bare = appendHistories(journal, live.state());
        live.journaled(journal.append(
                MessagePackCodec.encode(new JournalRecord.OfProgram(bare.id(), new ProgramEvent.Restored(bare)))));
    }

    /** Writes the state of a program of a share that is being taken in. */
    static void appendTakenIn(JournalWriter journal, String share, ProgramState state) {
        ProgramState bare = appendHistories(journal, state);
        journal.append(MessagePackCodec.encode(new JournalRecord.TakenIn(share, bare)));
    }

    private static ProgramState appendHistories(JournalWriter journal, ProgramState whole) {
        ProgramState state = whole.hasEnded() ? whole.compacted() : whole;
        state.agents().values().stream()
                .flatMap(agent -> pieces(state, agent).stream())
                .forEach(piece -> journal.append(MessagePackCodec.encode(piece)));
        return state.mapAgents(agent -> agent.withHistory(List.of()));
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
