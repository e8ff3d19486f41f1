package org.parsleydrift.node.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleydrift.journal.Segment;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.program.AgentState;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;
import org.parsleydrift.program.ProgramStateMachine;

/** Reconstructs the programs recorded in a journal. */
public final class JournalReplay {
    private final Map<ProgramId, ProgramState> programs = new LinkedHashMap<>();
    private final Set<String> adopted = new HashSet<>();
    private final Map<String, List<ProgramState>> pendingAdoptions = new HashMap<>();
    private final Map<ProgramId, List<JournalRecord.HistoryPart>> historyParts = new HashMap<>();

    /**
     * Replays a journal.
     *
     * @param segments segments in order, from the base of the journal
     * @return the programs and adopted shares
     */
    public static JournalReplay of(List<Segment> segments) {
        JournalReplay replay = new JournalReplay();
        segments.stream()
                .flatMap(segment -> segment.records().stream()
                        .map(bytes -> MessagePackCodec.decode(bytes, JournalRecord.class, segment.incarnation())))
                .forEach(replay::apply);
        return replay;
    }

    /**
     * Returns the programs recorded in the journal.
     *
     * @return states by id, in the order of their first records
     */
    public Map<ProgramId, ProgramState> programs() {
        return programs;
    }

    /**
     * Returns the shares of other journals that were adopted in this one.
     *
     * @return texts of the shares' ids
     */
    public Set<String> adopted() {
        return adopted;
    }

    private void apply(JournalRecord record) {
        switch (record) {
            case JournalRecord.OfProgram of -> applyEvent(of.id(), of.event());
            case JournalRecord.HistoryPart part ->
                historyParts
                        .computeIfAbsent(part.id(), any -> new ArrayList<>())
                        .add(part);
            case JournalRecord.TakenIn taken ->
                pendingAdoptions
                        .computeIfAbsent(taken.share(), any -> new ArrayList<>())
                        .add(withHistories(taken.state()));
            case JournalRecord.Adopted marker -> adopt(marker.share());
            case JournalRecord.Probe ignored -> {
                return;
            }
        }
    }

    private void adopt(String share) {
        adopted.add(share);
        List<ProgramState> states = pendingAdoptions.remove(share);
        if (states != null) {
            states.forEach(state -> programs.putIfAbsent(state.id(), state));
        }
    }

    private void applyEvent(ProgramId id, ProgramEvent event) {
        switch (event) {
            case ProgramEvent.Started started -> programs.putIfAbsent(id, ProgramStateMachine.start(started));
            case ProgramEvent.CallStarted started -> programs.putIfAbsent(id, ProgramStateMachine.start(started));
            case ProgramEvent.Restored restored -> programs.put(id, withHistories(restored.state()));
            default -> programs.computeIfPresent(id, (any, state) -> ProgramStateMachine.apply(state, event));
        }
    }

    private ProgramState withHistories(ProgramState state) {
        List<JournalRecord.HistoryPart> own = historyParts.getOrDefault(state.id(), List.of());
        historyParts.remove(state.id());
        Map<String, List<HistoryEntry>> histories = new HashMap<>();
        own.forEach(part ->
                histories.computeIfAbsent(part.path(), any -> new ArrayList<>()).addAll(part.entries()));
        return state.mapAgents(agent -> histories.containsKey(agent.path()) ? withHistory(agent, histories) : agent);
    }

    private static AgentState withHistory(AgentState agent, Map<String, List<HistoryEntry>> histories) {
        return agent.withHistory(histories.get(agent.path()));
    }
}
