package org.parsleydrift.program;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * An agent of a program.
 *
 * @param path its place: "0" for the root, "0.2" for the root's third sub-agent
 * @param agent its kind in the manifest
 * @param turns turns ended
 * @param history all that was said, in order
 * @param pending actions of the last turn that are not done
 * @param done true once it ended
 */
public record AgentState(
        String path, String agent, int turns, List<HistoryEntry> history, List<PendingAction> pending, boolean done) {
    /** Copies the lists. */
    public AgentState {
        history = List.copyOf(history);
        pending = List.copyOf(pending);
    }

    /**
     * Whether its next step is a model turn.
     *
     * @return true if it neither ended nor has an action to carry out
     */
    public boolean thinking() {
        return !done && pending.isEmpty();
    }

    /**
     * The level below the root.
     *
     * @return 0 for the root
     */
    public int depth() {
        return (int) path.chars().filter(c -> c == '.').count();
    }

    /**
     * The text of its last turn.
     *
     * @return the text, empty before the first turn
     */
    public String lastText() {
        return history.reversed().stream()
                .filter(entry -> entry.kind() == HistoryEntry.Kind.MODEL)
                .findFirst()
                .map(HistoryEntry::text)
                .orElse("");
    }

    /**
     * All texts of its turns.
     *
     * @return the texts in order
     */
    public Stream<String> modelTexts() {
        return history.stream()
                .filter(entry -> entry.kind() == HistoryEntry.Kind.MODEL)
                .map(HistoryEntry::text);
    }

    /**
     * The same agent with another history.
     *
     * @param entries the history
     * @return the state after
     */
    public AgentState withHistory(List<HistoryEntry> entries) {
        return new AgentState(path, agent, turns, entries, pending, done);
    }

    AgentState said(HistoryEntry entry) {
        List<HistoryEntry> longer = new ArrayList<>(history);
        longer.add(entry);
        return new AgentState(path, agent, turns, longer, pending, done);
    }

    AgentState withTurn() {
        return new AgentState(path, agent, turns + 1, history, pending, done);
    }

    AgentState withPending(List<PendingAction> actions) {
        return new AgentState(path, agent, turns, history, actions, done);
    }

    AgentState ended() {
        return new AgentState(path, agent, turns, history, List.of(), true);
    }

    AgentState withoutHead() {
        return withPending(pending.subList(1, pending.size()));
    }
}
