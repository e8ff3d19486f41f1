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

/** Programs as a journal tells them. */
public final class JournalReplay {
    private final Map<ProgramId, ProgramState> programs = new LinkedHashMap<>();
    private final Set<String> adopted = new HashSet<>();
    private final Map<String, List<ProgramState>> takenIn = new HashMap<>();
    private final Map<ProgramId, List<JournalRecord.HistoryPart>> parts = new HashMap<>();

    /**
     * Replays a journal.
     *
     * @param segments its segments in order
     * @return what it tells
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
     * The programs.
     *
     * @return states by id
     */
    public Map<ProgramId, ProgramState> programs() {
        return programs;
    }

    /**
     * Shares of other journals that this one holds.
     *
     * @return the marks found
     */
    public Set<String> adopted() {
        return adopted;
    }

    private void apply(JournalRecord record) {
        switch (record) {
            case JournalRecord.OfProgram of -> applyEvent(of.id(), of.event());
            case JournalRecord.HistoryPart part ->
                parts.computeIfAbsent(part.id(), any -> new ArrayList<>()).add(part);
            case JournalRecord.TakenIn taken ->
                takenIn.computeIfAbsent(taken.share(), any -> new ArrayList<>()).add(withHistories(taken.state()));
            case JournalRecord.Adopted mark -> adopt(mark.share());
            case JournalRecord.Probe ignored -> {
                return;
            }
        }
    }

    private void adopt(String share) {
        adopted.add(share);
        List<ProgramState> states = takenIn.remove(share);
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
        List<JournalRecord.HistoryPart> mine = parts.getOrDefault(state.id(), List.of());
        parts.remove(state.id());
        Map<String, List<HistoryEntry>> histories = new HashMap<>();
        mine.forEach(part ->
                histories.computeIfAbsent(part.path(), any -> new ArrayList<>()).addAll(part.entries()));
        return state.mapAgents(agent -> histories.containsKey(agent.path()) ? filled(agent, histories) : agent);
    }

    private static AgentState filled(AgentState agent, Map<String, List<HistoryEntry>> histories) {
        return agent.withHistory(histories.get(agent.path()));
    }
}
