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
 * The life of a program as a pure state machine: events change the state, and the state alone says what comes next
 * (docs/design/programs.md).
 */
public final class ProgramStateMachine {
    private static final int PLAIN_CALL_SECONDS = 3600;

    private ProgramStateMachine() {}

    /**
     * Makes the state of a program that was just accepted.
     *
     * @param started its first event
     * @return the state
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
     * Makes the state of a plain call that must run at most once: a program of one call and no turn.
     *
     * @param started its first event
     * @return the state
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
                new Budget(1, 1, 1, PLAIN_CALL_SECONDS, 0, 0, null),
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
     * Applies an event. Events that no longer fit, such as a late answer of a call that has ended, change nothing.
     *
     * @param state the state before
     * @param event what happened
     * @return the state after
     */
    public static ProgramState apply(ProgramState state, ProgramEvent event) {
        if (state.hasEnded()) {
            return state;
        }
        ProgramState changed = switch (event) {
            case ProgramEvent.Started ignored -> state;
            case ProgramEvent.CallStarted ignored -> state;
            case ProgramEvent.Restored restored -> restored.state();
            case ProgramEvent.TurnEnded ended -> turnEnded(state, ended);
            case ProgramEvent.TurnLost lost -> state.withUsage(state.usage().lost(lost.tokens()));
            case ProgramEvent.CallIntended intended -> callIntended(state, intended.callId());
            case ProgramEvent.CallEnded ended -> callEnded(state, ended);
            case ProgramEvent.MessageArrived message -> state.withMessage(message.key(), message.text());
            case ProgramEvent.Stopped stopped -> state.withEnd(stopped.end(), stopped.detail());
        };
        return settle(changed);
    }

    /**
     * Says what the program needs next.
     *
     * @param state its state
     * @param nowMillis the present time in milliseconds since the epoch
     * @return steps in order of their agents' paths; empty if it waits or is over
     */
    public static List<ProgramStep> nextSteps(ProgramState state, long nowMillis) {
        if (state.hasEnded()) {
            return List.of();
        }
        return limit(state, nowMillis)
                .map(List::of)
                .orElseGet(() -> state.agents().values().stream()
                        .flatMap(agent -> nextStep(agent).stream())
                        .toList());
    }

    /**
     * Finds an action that is not done.
     *
     * @param state the program
     * @param callId the action's id
     * @return the action, if it is at the head of its agent's list
     */
    public static Optional<PendingAction> findPendingCall(ProgramState state, String callId) {
        return owner(state, callId).map(agent -> agent.pending().getFirst());
    }

    /**
     * The identity of a call for repeats and blocks.
     *
     * @param call the call
     * @return tool and arguments
     */
    public static String identity(Action.CallTool call) {
        return call.tool() + " " + call.arguments();
    }

    private static Optional<ProgramStep> limit(ProgramState state, long nowMillis) {
        var budget = state.budget();
        var usage = state.usage();
        if (nowMillis - state.startedMillis() >= budget.seconds() * 1000L) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.EXPIRED, budget.seconds() + " s are over"));
        }
        if (usage.repeats() >= budget.repeats()) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.LOOP, usage.repeats() + " times " + usage.lastCall()));
        }
        boolean wantsTurn = state.agents().values().stream().anyMatch(AgentState::thinking);
        if (wantsTurn && (usage.turns() >= budget.turns() || usage.tokens() >= budget.tokens())) {
            return Optional.of(new ProgramStep.Stop(
                    ProgramEnd.BUDGET_SPENT, usage.turns() + " turns, " + usage.tokens() + " tokens"));
        }
        boolean wantsCall = state.agents().values().stream()
                .flatMap(agent -> agent.pending().stream().limit(1))
                .anyMatch(pending -> pending.action() instanceof Action.CallTool && !pending.intended());
        if (wantsCall && usage.calls() >= budget.calls()) {
            return Optional.of(new ProgramStep.Stop(ProgramEnd.BUDGET_SPENT, usage.calls() + " calls"));
        }
        return Optional.empty();
    }

    private static Optional<ProgramStep> nextStep(AgentState agent) {
        if (agent.done()) {
            return Optional.empty();
        }
        if (agent.thinking()) {
            return Optional.of(new ProgramStep.RunTurn(agent.path(), agent.turns()));
        }
        PendingAction head = agent.pending().getFirst();
        return head.action() instanceof Action.CallTool call
                ? Optional.of(new ProgramStep.MakeCall(head.id(), call.tool(), call.arguments(), head.intended()))
                : Optional.empty();
    }

    private static ProgramState turnEnded(ProgramState state, ProgramEvent.TurnEnded ended) {
        AgentState agent = state.agents().get(ended.path());
        if (agent == null || !agent.thinking() || agent.turns() != ended.turn()) {
            return state;
        }
        List<Action> actions = ended.actions();
        List<PendingAction> pending = IntStream.range(0, actions.size())
                .mapToObj(i -> new PendingAction(
                        state.id() + "/" + ended.path() + "/" + ended.turn() + "/" + i, actions.get(i), false, null))
                .toList();
        return state.withUsage(state.usage().turn(ended.tokens()))
                .withAgent(agent.said(new HistoryEntry(HistoryEntry.Kind.MODEL, ended.text()))
                        .withTurn()
                        .withPending(pending));
    }

    private static ProgramState callIntended(ProgramState state, String callId) {
        return owner(state, callId)
                .map(agent -> {
                    List<PendingAction> pending = new ArrayList<>(agent.pending());
                    pending.set(0, pending.getFirst().asIntended());
                    return state.withAgent(agent.withPending(pending));
                })
                .orElse(state);
    }

    private static ProgramState callEnded(ProgramState state, ProgramEvent.CallEnded ended) {
        return owner(state, ended.callId())
                .map(agent -> {
                    var call = (Action.CallTool) agent.pending().getFirst().action();
                    String text = call.tool() + " " + ended.outcome() + " " + ended.answer();
                    ProgramState after = state.withUsage(state.usage().call(identity(call)))
                            .withAgent(agent.withoutHead().said(new HistoryEntry(HistoryEntry.Kind.TOOL, text)));
                    return ended.outcome() == CallOutcome.OUTCOME_UNKNOWN ? after.withUnknown(identity(call)) : after;
                })
                .orElse(state);
    }

    private static Optional<AgentState> owner(ProgramState state, String callId) {
        return state.agents().values().stream()
                .filter(agent -> !agent.pending().isEmpty()
                        && agent.pending().getFirst().id().equals(callId)
                        && agent.pending().getFirst().action() instanceof Action.CallTool)
                .findFirst();
    }

    /** Carries out all that needs no outside system, until nothing changes. */
    private static ProgramState settle(ProgramState state) {
        ProgramState settled = state;
        for (var next = settleOnce(settled); next.isPresent(); next = settleOnce(settled)) {
            settled = next.get();
        }
        return settled;
    }

    private static Optional<ProgramState> settleOnce(ProgramState state) {
        if (state.hasEnded()) {
            return Optional.empty();
        }
        return state.agents().values().stream()
                .filter(agent -> !agent.pending().isEmpty())
                .flatMap(agent -> settle(state, agent).stream())
                .findFirst();
    }

    private static Optional<ProgramState> settle(ProgramState state, AgentState agent) {
        return switch (agent.pending().getFirst().action()) {
            case Action.CallTool ignored -> Optional.empty();
            case Action.Spawn ignored -> spawnOrJoin(state, agent);
            case Action.AwaitMessage ignored -> readMessage(state, agent);
            case Action.End ignored -> Optional.of(end(state, agent));
        };
    }

    private static Optional<ProgramState> spawnOrJoin(ProgramState state, AgentState agent) {
        List<PendingAction> group = agent.pending().stream()
                .takeWhile(pending -> pending.action() instanceof Action.Spawn)
                .toList();
        Optional<PendingAction> unborn =
                group.stream().filter(pending -> pending.child() == null).findFirst();
        if (unborn.isPresent()) {
            return Optional.of(spawn(state, agent, unborn.get()));
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
            joined = joined.said(new HistoryEntry(HistoryEntry.Kind.CHILD, text));
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
        String path = agent.path() + "." + childrenOf(state, agent.path()).count();
        List<PendingAction> actions = agent.pending().stream()
                .map(each -> each.id().equals(pending.id()) ? each.withChild(path) : each)
                .toList();
        return state.withAgent(agent.withPending(actions))
                .withAgent(newAgent(path, spawn.agent(), spawn.prompt()))
                .withUsage(state.usage().child());
    }

    private static Stream<String> childrenOf(ProgramState state, String path) {
        return state.agents().keySet().stream()
                .filter(other -> other.startsWith(path + ".") && other.lastIndexOf('.') == path.length());
    }

    private static Optional<ProgramState> readMessage(ProgramState state, AgentState agent) {
        return state.messages().values().stream()
                .skip(state.consumed())
                .findFirst()
                .map(text -> state.withMessageRead()
                        .withAgent(agent.withoutHead().said(new HistoryEntry(HistoryEntry.Kind.MESSAGE, text))));
    }

    private static ProgramState end(ProgramState state, AgentState agent) {
        ProgramState after = state.withAgent(agent.ended());
        return agent.path().equals(ProgramState.ROOT) ? after.withEnd(ProgramEnd.COMPLETE, "") : after;
    }

    private static AgentState newAgent(String path, String agent, String prompt) {
        return new AgentState(
                path, agent, 0, List.of(new HistoryEntry(HistoryEntry.Kind.INPUT, prompt)), List.of(), false);
    }
}
