package org.parsleydrift.program;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.manifest.Budget;

/**
 * The state machine of a program. It has no side effects: events change the state, and the next steps depend on the
 * state and the current time only.
 */
public final class ProgramStateMachine {
    private static final int PLAIN_CALL_TIMEOUT_SECONDS = 3600;

    private ProgramStateMachine() {}

    /**
     * Creates the initial state of an accepted program.
     *
     * @param started the first event of the program
     * @return the initial state
     */
    public static ProgramState start(ProgramEvent.Started started) {
        AgentState root = newAgent(ProgramState.ROOT, started.agent(), started.prompt());
        return new ProgramState(
                started.id(),
                started.agent(),
                started.budget(),
                started.generation(),
                started.atMillis(),
                Map.of(root.path(), root),
                Usage.NONE,
                new LinkedHashMap<>(),
                0,
                List.of(),
                null,
                "");
    }

    /**
     * Creates the initial state of a plain call with at-most-once semantics, modelled as a program of one call without
     * a model turn.
     *
     * @param started the first event of the call
     * @return the initial state
     */
    public static ProgramState start(ProgramEvent.CallStarted started) {
        String path = ProgramState.ROOT;
        List<PendingAction> pending = List.of(
                new PendingAction(
                        started.id() + "/" + path + "/0/0",
                        new Action.CallTool(started.service(), started.body()),
                        false,
                        null),
                new PendingAction(started.id() + "/" + path + "/0/1", new Action.End(), false, null));
        AgentState root = new AgentState(path, started.service(), 0, List.of(), pending, false);
        return new ProgramState(
                started.id(),
                started.service(),
                new Budget(1, 1, 1, PLAIN_CALL_TIMEOUT_SECONDS, 0, 0, null),
                started.generation(),
                started.atMillis(),
                Map.of(path, root),
                Usage.NONE,
                new LinkedHashMap<>(),
                0,
                List.of(),
                null,
                "");
    }

    /**
     * Applies an event. Events that do not match the state, such as a late result of a call that has ended, are
     * ignored.
     *
     * @param state the current state
     * @param event the event
     * @return the new state, or the current state if the event was ignored
     */
    public static ProgramState apply(ProgramState state, ProgramEvent event) {
        if (state.hasEnded()) {
            return state;
        }
        ProgramState changed = switch (event) {
            case ProgramEvent.Started ignored -> state;
            case ProgramEvent.CallStarted ignored -> state;
            case ProgramEvent.Restored restored -> restored.state();
            case ProgramEvent.TurnEnded ended -> applyTurnEnded(state, ended);
            case ProgramEvent.TurnLost lost -> state.withUsage(state.usage().withLostTurn(lost.tokens()));
            case ProgramEvent.CallIntended intended -> applyCallIntended(state, intended.callId());
            case ProgramEvent.CallEnded ended -> applyCallEnded(state, ended);
            case ProgramEvent.MessageArrived message -> state.withMessage(message.key(), message.text());
            case ProgramEvent.Stopped stopped -> state.withEnd(stopped.end(), stopped.detail());
        };
        return executeInternalActions(changed);
    }

    /**
     * Computes the next steps of a program.
     *
     * @param state the program's state
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the steps in order of their agents' paths, or a single stop if a limit is reached; empty if the program
     *     waits or has ended
     */
    public static List<ProgramStep> nextSteps(ProgramState state, long nowMillis) {
        if (state.hasEnded()) {
            return List.of();
        }
        return exceededLimit(state, nowMillis)
                .map(List::of)
                .orElseGet(() -> state.agents().values().stream()
                        .flatMap(agent -> nextStep(agent).stream())
                        .toList());
    }

    /**
     * Finds a pending tool call.
     *
     * @param state the program's state
     * @param callId the id of the call
     * @return the call, or empty if it is not the first pending action of an agent
     */
    public static Optional<PendingAction> findPendingCall(ProgramState state, String callId) {
        return findCallingAgent(state, callId).map(agent -> agent.pending().getFirst());
    }

    /**
     * Returns the identity of a call, by which repeated calls and calls of unknown outcome are recognised.
     *
     * @param call the call
     * @return the tool and the arguments, separated by a space
     */
    public static String identity(Action.CallTool call) {
        return call.tool() + " " + call.arguments();
    }

    private static Optional<ProgramStep> exceededLimit(ProgramState state, long nowMillis) {
        var budget = state.budget();
        var usage = state.usage();
        if (nowMillis - state.startedMillis() >= budget.seconds() * 1000L) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.EXPIRED, budget.seconds() + " s are over"));
        }
        if (usage.repeats() >= budget.repeats()) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.LOOP, usage.repeats() + " times " + usage.lastCall()));
        }
        boolean needsTurn = state.agents().values().stream().anyMatch(AgentState::canRunTurn);
        if (needsTurn && (usage.turns() >= budget.turns() || usage.tokens() >= budget.tokens())) {
            return Optional.of(new ProgramStep.Stop(
                    ProgramEnd.BUDGET_SPENT, usage.turns() + " turns, " + usage.tokens() + " tokens"));
        }
        boolean needsCall = state.agents().values().stream()
                .flatMap(agent -> agent.pending().stream().limit(1))
                .anyMatch(pending -> pending.action() instanceof Action.CallTool && !pending.intended());
        if (needsCall && usage.calls() >= budget.calls()) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.BUDGET_SPENT, usage.calls() + " calls"));
        }
        return Optional.empty();
    }

    private static Optional<ProgramStep> nextStep(AgentState agent) {
        if (agent.done()) {
            return Optional.empty();
        }
        if (agent.canRunTurn()) {
            return Optional.of(new ProgramStep.RunTurn(agent.path(), agent.turns()));
        }
        PendingAction head = agent.pending().getFirst();
        return head.action() instanceof Action.CallTool call
                ? Optional.of(new ProgramStep.MakeCall(head.id(), call.tool(), call.arguments(), head.intended()))
                : Optional.empty();
    }

    private static ProgramState applyTurnEnded(ProgramState state, ProgramEvent.TurnEnded ended) {
        AgentState agent = state.agents().get(ended.path());
        if (agent == null || !agent.canRunTurn() || agent.turns() != ended.turn()) {
            return state;
        }
        List<Action> actions = ended.actions();
        List<PendingAction> pending = IntStream.range(0, actions.size())
                .mapToObj(i -> new PendingAction(
                        state.id() + "/" + ended.path() + "/" + ended.turn() + "/" + i, actions.get(i), false, null))
                .toList();
        return state.withUsage(state.usage().withTurn(ended.tokens()))
                .withAgent(agent.withHistoryEntry(new HistoryEntry(HistoryEntry.Kind.MODEL, ended.text()))
                        .withTurn()
                        .withPending(pending));
    }

    private static ProgramState applyCallIntended(ProgramState state, String callId) {
        return findCallingAgent(state, callId)
                .map(agent -> {
                    List<PendingAction> pending = new ArrayList<>(agent.pending());
                    pending.set(0, pending.getFirst().asIntended());
                    return state.withAgent(agent.withPending(pending));
                })
                .orElse(state);
    }

    private static ProgramState applyCallEnded(ProgramState state, ProgramEvent.CallEnded ended) {
        return findCallingAgent(state, ended.callId())
                .map(agent -> {
                    var call = (Action.CallTool) agent.pending().getFirst().action();
                    String text = call.tool() + " " + ended.outcome() + " " + ended.answer();
                    ProgramState after = state.withUsage(state.usage().withCall(identity(call)))
                            .withAgent(agent.withoutFirstPending()
                                    .withHistoryEntry(new HistoryEntry(HistoryEntry.Kind.TOOL, text)));
                    return ended.outcome() == CallOutcome.OUTCOME_UNKNOWN
                            ? after.withUnknownOutcome(identity(call))
                            : after;
                })
                .orElse(state);
    }

    private static Optional<AgentState> findCallingAgent(ProgramState state, String callId) {
        return state.agents().values().stream()
                .filter(agent -> !agent.pending().isEmpty()
                        && agent.pending().getFirst().id().equals(callId)
                        && agent.pending().getFirst().action() instanceof Action.CallTool)
                .findFirst();
    }

    /** Executes all actions that need no external system, until the state no longer changes. */
    private static ProgramState executeInternalActions(ProgramState state) {
        ProgramState current = state;
        for (var next = executeNextInternalAction(current);
                next.isPresent();
                next = executeNextInternalAction(current)) {
            current = next.get();
        }
        return current;
    }

    private static Optional<ProgramState> executeNextInternalAction(ProgramState state) {
        if (state.hasEnded()) {
            return Optional.empty();
        }
        return state.agents().values().stream()
                .filter(agent -> !agent.pending().isEmpty())
                .flatMap(agent -> executeInternalAction(state, agent).stream())
                .findFirst();
    }

    private static Optional<ProgramState> executeInternalAction(ProgramState state, AgentState agent) {
        return switch (agent.pending().getFirst().action()) {
            case Action.CallTool ignored -> Optional.empty();
            case Action.Spawn ignored -> spawnOrJoin(state, agent);
            case Action.AwaitMessage ignored -> consumeMessage(state, agent);
            case Action.End ignored -> Optional.of(endAgent(state, agent));
        };
    }

    private static Optional<ProgramState> spawnOrJoin(ProgramState state, AgentState agent) {
        List<PendingAction> group = agent.pending().stream()
                .takeWhile(pending -> pending.action() instanceof Action.Spawn)
                .toList();
        Optional<PendingAction> notStarted =
                group.stream().filter(pending -> pending.child() == null).findFirst();
        if (notStarted.isPresent()) {
            return Optional.of(spawn(state, agent, notStarted.get()));
        }
        boolean allDone = group.stream()
                .allMatch(pending -> state.agents().get(pending.child()).done());
        return allDone ? Optional.of(join(state, agent, group)) : Optional.empty();
    }

    private static ProgramState join(ProgramState state, AgentState agent, List<PendingAction> group) {
        AgentState joined = agent.withPending(
                agent.pending().subList(group.size(), agent.pending().size()));
        for (PendingAction pending : group) {
            String text = state.agents().get(pending.child()).lastText();
            joined = joined.withHistoryEntry(new HistoryEntry(HistoryEntry.Kind.CHILD, text));
        }
        return state.withAgent(joined);
    }

    private static ProgramState spawn(ProgramState state, AgentState agent, PendingAction pending) {
        var budget = state.budget();
        if (agent.depth() >= budget.depth() || state.usage().children() >= budget.children()) {
            return state.withEnd(
                    ProgramEnd.BUDGET_SPENT, "sub-agents: depth " + budget.depth() + ", children " + budget.children());
        }
        var spawn = (Action.Spawn) pending.action();
        String path = agent.path() + "." + childPaths(state, agent.path()).count();
        List<PendingAction> actions = agent.pending().stream()
                .map(each -> each.id().equals(pending.id()) ? each.withChild(path) : each)
                .toList();
        return state.withAgent(agent.withPending(actions))
                .withAgent(newAgent(path, spawn.agent(), spawn.prompt()))
                .withUsage(state.usage().withChild());
    }

    private static Stream<String> childPaths(ProgramState state, String path) {
        return state.agents().keySet().stream()
                .filter(other -> other.startsWith(path + ".") && other.lastIndexOf('.') == path.length());
    }

    private static Optional<ProgramState> consumeMessage(ProgramState state, AgentState agent) {
        return state.messages().values().stream()
                .skip(state.consumed())
                .findFirst()
                .map(text -> state.withMessageRead()
                        .withAgent(agent.withoutFirstPending()
                                .withHistoryEntry(new HistoryEntry(HistoryEntry.Kind.MESSAGE, text))));
    }

    private static ProgramState endAgent(ProgramState state, AgentState agent) {
        ProgramState after = state.withAgent(agent.asEnded());
        return agent.path().equals(ProgramState.ROOT) ? after.withEnd(ProgramEnd.COMPLETE, "") : after;
    }

    private static AgentState newAgent(String path, String agent, String prompt) {
        return new AgentState(
                path, agent, 0, List.of(new HistoryEntry(HistoryEntry.Kind.INPUT, prompt)), List.of(), false);
    }
}
