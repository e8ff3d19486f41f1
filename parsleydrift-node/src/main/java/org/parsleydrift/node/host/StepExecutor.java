package org.parsleydrift.node.host;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.kernel.upstream.TurnResult;
import org.parsleydrift.manifest.AgentSpec;
import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.OperationSpec;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.call.CallResult;
import org.parsleydrift.node.manifest.CurrentManifest;
import org.parsleydrift.node.placement.RunnerPool;
import org.parsleydrift.node.placement.TurnTask;
import org.parsleydrift.program.Action;
import org.parsleydrift.program.AgentState;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.PendingAction;
import org.parsleydrift.program.ProgramEnd;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;
import org.parsleydrift.program.ProgramStep;

/** Executes the steps of programs. Confined to the node's event loop. */
final class StepExecutor {
    private static final Logger LOG = System.getLogger(StepExecutor.class.getName());
    private static final Cancellable NO_TIMER = () -> {};
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final int MAX_BACKOFF_SHIFT = 5;
    /**
     * A turn starts while at most this many earlier ones are not durable, which limits the work lost with the owner.
     */
    private static final int MAX_NON_DURABLE_TURNS = 1;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final ProgramHost host;
    private final CurrentManifest manifest;
    private final Upstreams upstreams;

    StepExecutor(NodeEnvironment environment, ProgramHost host, CurrentManifest manifest, Upstreams upstreams) {
        this.environment = environment;
        this.loop = environment.loop();
        this.host = host;
        this.manifest = manifest;
        this.upstreams = upstreams;
    }

    void start(LiveProgram live, ProgramStep step) {
        switch (step) {
            case ProgramStep.RunTurn turn -> startTurn(live, turn);
            case ProgramStep.MakeCall call -> startCall(live, call);
            case ProgramStep.Stop stop -> host.record(live, new ProgramEvent.Stopped(stop.end(), stop.detail()));
        }
    }

    void release(ProgramId id) {
        upstreams.runners().release(id.toString());
    }

    /**
     * Settles the steps that the former owner may have left unfinished. A non-idempotent call with an intent but no
     * outcome may have run, so it is not repeated and its outcome is recorded as unknown. Turns that may have been
     * running are charged their maximum, so that repeated failures of owners cannot exceed the program's budget.
     */
    void settleInterruptedSteps(LiveProgram live) {
        firstPendingCalls(live.state()).filter(PendingAction::intended).toList().forEach(call -> {
            host.delayUntilLeaseExpiry(live);
            host.record(
                    live,
                    new ProgramEvent.CallEnded(
                            call.id(), CallOutcome.OUTCOME_UNKNOWN, "its node was lost before the answer"));
        });
        live.state().agents().values().stream()
                .filter(AgentState::canRunTurn)
                .toList()
                .forEach(agent -> chargeInterruptedTurns(live, agent));
    }

    private void chargeInterruptedTurns(LiveProgram live, AgentState agent) {
        AgentSpec spec = manifest.manifest().agents().get(agent.agent());
        int maxTokens = spec == null ? 0 : spec.turnTokens() * (1 + MAX_NON_DURABLE_TURNS);
        int charge = live.ledger().grant(maxTokens);
        if (charge > 0 && !live.state().hasEnded()) {
            live.setLedger(live.ledger().settle(0, charge));
            host.record(live, new ProgramEvent.TurnLost(agent.path(), agent.turns(), charge));
        }
    }

    private static Stream<PendingAction> firstPendingCalls(ProgramState state) {
        return state.agents().values().stream()
                .flatMap(agent -> agent.pending().stream().limit(1))
                .filter(pending -> pending.action() instanceof Action.CallTool);
    }

    private void startTurn(LiveProgram live, ProgramStep.RunTurn step) {
        AgentState agent = live.state().agents().get(step.path());
        AgentSpec spec = manifest.manifest().agents().get(agent.agent());
        if (spec == null) {
            host.record(live, new ProgramEvent.Stopped(ProgramEnd.FAILED, "no agent " + agent.agent()));
            return;
        }
        if (live.nonDurableTurns(step.path()) > MAX_NON_DURABLE_TURNS) {
            return;
        }
        int granted = live.ledger().grant(spec.turnTokens());
        if (granted == 0) {
            return;
        }
        live.setLedger(live.ledger().reserve(granted));
        CompletableFuture<TurnResult> done = new CompletableFuture<>();
        ProgramState state = live.state();
        TurnTask task = new TurnTask(
                state.id().toString(),
                step.path(),
                step.turn(),
                state.id() + "/" + step.path() + "/" + step.turn() + "/" + live.nextAttempt() + "/"
                        + Long.toHexString(environment.random().nextLong()),
                spec.model(),
                prompt(spec, agent),
                granted,
                state.startedMillis(),
                text -> appendOutput(live, step, text),
                done);
        live.runningSteps().put(step.key(), NO_TIMER);
        live.runningSteps().put(step.key(), upstreams.runners().submit(task));
        done.whenComplete((result, failure) -> completeTurn(live, step, granted, result, failure));
    }

    private static List<String> prompt(AgentSpec spec, AgentState agent) {
        Stream<String> system = spec.systemPrompt().isEmpty() ? Stream.empty() : Stream.of(spec.systemPrompt());
        return Stream.concat(system, agent.history().stream().map(HistoryEntry::promptText))
                .toList();
    }

    private void appendOutput(LiveProgram live, ProgramStep.RunTurn step, String text) {
        if (!host.isActive(live) || !step.path().equals(ProgramState.ROOT)) {
            return;
        }
        live.provisional().append(text);
        live.attachments().forEach(each -> each.append(text));
    }

    private void completeTurn(
            LiveProgram live, ProgramStep.RunTurn step, int granted, TurnResult result, Throwable failure) {
        if (!host.isActive(live) || live.runningSteps().remove(step.key()) == null) {
            return;
        }
        if (failure != null) {
            handleTurnFailure(live, step, granted, failure);
            return;
        }
        live.resetFailures();
        if (step.path().equals(ProgramState.ROOT)
                && !live.provisional().toString().equals(result.text())) {
            // Streamed text was lost or duplicated in transit: replace it by the text of the complete result.
            live.attachments().forEach(each -> each.rewind(live.answerLength()));
            live.attachments().forEach(each -> each.append(result.text()));
        }
        int used = Math.min(granted, result.outputTokens());
        live.setLedger(live.ledger().settle(granted, used));
        try {
            List<Action> actions = result.actions().stream().map(Action::parse).toList();
            host.record(live, new ProgramEvent.TurnEnded(step.path(), step.turn(), result.text(), actions, used));
        } catch (IllegalArgumentException e) {
            host.record(live, new ProgramEvent.Stopped(ProgramEnd.FAILED, e.getMessage()));
        }
        host.advance(live);
    }

    private void handleTurnFailure(LiveProgram live, ProgramStep.RunTurn step, int granted, Throwable failure) {
        int charge = RunnerPool.mayHaveRun(failure) ? granted : 0;
        live.setLedger(live.ledger().settle(granted, charge));
        if (step.path().equals(ProgramState.ROOT)) {
            live.provisional().setLength(0);
            live.attachments().forEach(each -> each.rewind(live.answerLength()));
        }
        if (charge > 0) {
            host.record(live, new ProgramEvent.TurnLost(step.path(), step.turn(), charge));
        }
        live.runningSteps().put(step.key(), NO_TIMER);
        Duration wait = INITIAL_BACKOFF.multipliedBy(1L << Math.min(MAX_BACKOFF_SHIFT, live.recordFailure()));
        loop.schedule(wait, () -> {
            live.runningSteps().remove(step.key());
            host.advance(live);
        });
    }

    private void startCall(LiveProgram live, ProgramStep.MakeCall step) {
        Manifest current = manifest.manifest();
        OperationSpec tool = current.tools().get(step.tool());
        OperationSpec spec = tool != null ? tool : current.services().get(step.tool());
        live.runningSteps().put(step.key(), NO_TIMER);
        if (spec == null) {
            completeCall(live, step, new CallResult(CallOutcome.FAILED, "no tool " + step.tool()));
            return;
        }
        if (spec.repeatable()) {
            send(live, step, spec);
            return;
        }
        if (live.state().unknown().contains(step.tool() + " " + step.arguments())) {
            completeCall(
                    live,
                    step,
                    new CallResult(CallOutcome.BLOCKED, "an earlier call of this kind has no known outcome"));
            return;
        }
        host.record(live, new ProgramEvent.CallIntended(step.callId()))
                .durable()
                .thenRun(() -> send(live, step, spec));
    }

    private void send(LiveProgram live, ProgramStep.MakeCall step, OperationSpec spec) {
        if (!host.isActive(live) || live.state().hasEnded()) {
            return;
        }
        CallRequest request = new CallRequest(step.callId(), step.tool(), step.arguments());
        upstreams
                .calls()
                .execute(spec, request, spec.repeatable() ? host.effectGate() : host.leaseGate())
                .whenComplete((end, ignored) -> completeCall(live, step, end));
    }

    private void completeCall(LiveProgram live, ProgramStep.MakeCall step, CallResult end) {
        if (!host.isActive(live) || live.runningSteps().remove(step.key()) == null) {
            return;
        }
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("call_ended")
                        .with("call", step.callId())
                        .with("tool", step.tool())
                        .with("outcome", end.outcome())
                        .toString());
        host.record(live, new ProgramEvent.CallEnded(step.callId(), end.outcome(), end.answer()));
        host.advance(live);
    }
}
