package org.parsleydrift.program;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.parsleydrift.manifest.Budget;

/**
 * The state of a program; a value.
 *
 * @param id its id
 * @param agent the kind of its root agent
 * @param budget its budget
 * @param generation the manifest generation it was accepted under
 * @param startedMillis when it was accepted
 * @param agents its agents by path
 * @param usage what it has used
 * @param messages all messages by key, in order of arrival
 * @param consumed how many of them an agent has read
 * @param unknown calls, tool and arguments, whose outcome is unknown and which are never sent again
 * @param end why it is over, or null
 * @param detail the reason, for the caller
 */
public record ProgramState(
        ProgramId id,
        String agent,
        Budget budget,
        long generation,
        long startedMillis,
        Map<String, AgentState> agents,
        Usage usage,
        SequencedMap<String, String> messages,
        int consumed,
        List<String> unknown,
        ProgramEnd end,
        String detail) {
    /** The path of the root agent. */
    public static final String ROOT = "0";

    /** Copies the collections. */
    public ProgramState {
        agents = Collections.unmodifiableMap(new TreeMap<>(agents));
        messages = Collections.unmodifiableSequencedMap(new LinkedHashMap<>(messages));
        unknown = List.copyOf(unknown);
    }

    /**
     * Whether the program is over.
     *
     * @return true once it has an end
     */
    public boolean hasEnded() {
        return end != null;
    }

    /**
     * The root agent.
     *
     * @return its state
     */
    public AgentState root() {
        return agents.get(ROOT);
    }

    /**
     * The answer so far: what the root agent's ended turns said.
     *
     * @return the text
     */
    public String answer() {
        return root().modelTexts().collect(Collectors.joining());
    }

    /**
     * The same program with changed agents.
     *
     * @param change makes the new state of each agent
     * @return the state after
     */
    public ProgramState mapAgents(UnaryOperator<AgentState> change) {
        ProgramState changed = this;
        for (AgentState each : agents.values()) {
            changed = changed.withAgent(change.apply(each));
        }
        return changed;
    }

    /**
     * What is kept of a program that is over: enough to give its answer again and to know a repeated request.
     *
     * @return the state without sub-agents, inputs and messages
     */
    public ProgramState compacted() {
        List<HistoryEntry> kept = root().history().stream()
                .filter(entry -> entry.kind() == HistoryEntry.Kind.MODEL
                        || (root().turns() == 0 && entry.kind() == HistoryEntry.Kind.TOOL))
                .toList();
        SequencedMap<String, String> keys = new LinkedHashMap<>();
        messages.keySet().forEach(key -> keys.put(key, ""));
        return new ProgramState(
                id,
                agent,
                budget,
                generation,
                startedMillis,
                Map.of(ROOT, root().withHistory(kept)),
                usage,
                keys,
                consumed,
                List.of(),
                end,
                detail);
    }

    ProgramState withAgent(AgentState changed) {
        Map<String, AgentState> copy = new TreeMap<>(agents);
        copy.put(changed.path(), changed);
        return new ProgramState(
                id, agent, budget, generation, startedMillis, copy, usage, messages, consumed, unknown, end, detail);
    }

    ProgramState withUsage(Usage changed) {
        return new ProgramState(
                id,
                agent,
                budget,
                generation,
                startedMillis,
                agents,
                changed,
                messages,
                consumed,
                unknown,
                end,
                detail);
    }

    ProgramState withMessage(String key, String text) {
        SequencedMap<String, String> copy = new LinkedHashMap<>(messages);
        copy.putIfAbsent(key, text);
        return new ProgramState(
                id, agent, budget, generation, startedMillis, agents, usage, copy, consumed, unknown, end, detail);
    }

    ProgramState withMessageRead() {
        return new ProgramState(
                id,
                agent,
                budget,
                generation,
                startedMillis,
                agents,
                usage,
                messages,
                consumed + 1,
                unknown,
                end,
                detail);
    }

    ProgramState withUnknown(String call) {
        List<String> copy = new ArrayList<>(unknown);
        copy.add(call);
        return new ProgramState(
                id, agent, budget, generation, startedMillis, agents, usage, messages, consumed, copy, end, detail);
    }

    ProgramState withEnd(ProgramEnd why, String reason) {
        return new ProgramState(
                id, agent, budget, generation, startedMillis, agents, usage, messages, consumed, unknown, why, reason);
    }
}
