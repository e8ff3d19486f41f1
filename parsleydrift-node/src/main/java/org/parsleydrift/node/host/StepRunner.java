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
import org.parsleydrift.node.call.CallEnd;
import org.parsleydrift.node.manifest.ManifestInForce;
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

/** Carries out the steps of programs. Confined to the node's loop. */
final class StepRunner {
    private static final Logger LOG = System.getLogger(StepRunner.class.getName());
    private static final Cancellable NOTHING = () -> {};
    private static final Duration BACKOFF = Duration.ofMillis(100);
    private static final int MAX_BACKOFF_SHIFT = 5;
    /** One turn may run while the one before it is not durable yet; a lost owner loses two turns at most. */
    private static final int MAX_UNDURABLE_TURNS = 1;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final ProgramHost host;
    private final ManifestInForce manifest;
    private final Upstreams upstreams;

    StepRunner(NodeEnvironment environment, ProgramHost host, ManifestInForce manifest, Upstreams upstreams) {
        this.environment = environment;
        this.loop = environment.loop();
        this.host = host;
        this.manifest = manifest;
        this.upstreams = upstreams;
    }

    void begin(LiveProgram live, ProgramStep step) {
        switch (step) {
            case ProgramStep.RunTurn turn -> beginTurn(live, turn);
            case ProgramStep.MakeCall call -> beginCall(live, call);
            case ProgramStep.Stop stop -> host.record(live, new ProgramEvent.Stopped(stop.end(), stop.detail()));
        }
    }

    void release(ProgramId id) {
        upstreams.runners().release(id.toString());
    }

    /**
     * Settles what the former owner may have left half done. A non-idempotent call with an intent and no outcome may
     * have run: sending it again could double its effect, so its outcome is unknown. Turns that the former owner may
     * have begun are charged as if they had used all they could, or a program that loses its owner again and again
     * would outspend its budget.
     */
    void settleLost(LiveProgram live) {
        heads(live.state()).filter(PendingAction::intended).toList().forEach(pending -> {
            host.holdBack(live);
            host.record(
                    live,
                    new ProgramEvent.CallEnded(
                            pending.id(), CallOutcome.OUTCOME_UNKNOWN, "its node was lost before the answer"));
        });
        live.state().agents().values().stream()
                .filter(AgentState::thinking)
                .toList()
                .forEach(agent -> chargeLost(live, agent));
    }

    private void chargeLost(LiveProgram live, AgentState agent) {
        AgentSpec spec = manifest.manifest().agents().get(agent.agent());
        int most = spec == null ? 0 : spec.turnTokens() * (1 + MAX_UNDURABLE_TURNS);
        int charge = live.ledger().grant(most);
        if (charge > 0 && !live.state().hasEnded()) {
            live.ledger(live.ledger().settle(0, charge));
            host.record(live, new ProgramEvent.TurnLost(agent.path(), agent.turns(), charge));
        }
    }

    private static Stream<PendingAction> heads(ProgramState state) {
        return state.agents().values().stream()
                .flatMap(agent -> agent.pending().stream().limit(1))
                .filter(pending -> pending.action() instanceof Action.CallTool);
    }

    private void beginTurn(LiveProgram live, ProgramStep.RunTurn step) {
        AgentState agent = live.state().agents().get(step.path());
        AgentSpec spec = manifest.manifest().agents().get(agent.agent());
        if (spec == null) {
            host.record(live, new ProgramEvent.Stopped(ProgramEnd.FAILED, "no agent " + agent.agent()));
            return;
        }
        if (live.undurableTurns(step.path()) > MAX_UNDURABLE_TURNS) {
            return;
        }
        int granted = live.ledger().grant(spec.turnTokens());
        if (granted == 0) {
            return;
        }
        live.ledger(live.ledger().reserve(granted));
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
                text -> token(live, step, text),
                done);
        live.running().put(step.key(), NOTHING);
        live.running().put(step.key(), upstreams.runners().submit(task));
        done.whenComplete((result, failure) -> turnDone(live, step, granted, result, failure));
    }

    private static List<String> prompt(AgentSpec spec, AgentState agent) {
        Stream<String> system = spec.systemPrompt().isEmpty() ? Stream.empty() : Stream.of(spec.systemPrompt());
        return Stream.concat(system, agent.history().stream().map(HistoryEntry::promptText))
                .toList();
    }

    private void token(LiveProgram live, ProgramStep.RunTurn step, String text) {
        if (!host.active(live) || !step.path().equals(ProgramState.ROOT)) {
            return;
        }
        live.provisional().append(text);
        live.attachments().forEach(each -> each.append(text));
    }

    private void turnDone(
            LiveProgram live, ProgramStep.RunTurn step, int granted, TurnResult result, Throwable failure) {
        if (!host.active(live) || live.running().remove(step.key()) == null) {
            return;
        }
        if (failure != null) {
            turnFailed(live, step, granted, failure);
            return;
        }
        live.succeeded();
        if (step.path().equals(ProgramState.ROOT)
                && !live.provisional().toString().equals(result.text())) {
            // The client lost or doubled a piece on the way. The result is whole; what was shown is taken back.
            live.attachments().forEach(each -> each.rewind(live.answerLength()));
            live.attachments().forEach(each -> each.append(result.text()));
        }
        int used = Math.min(granted, result.outputTokens());
        live.ledger(live.ledger().settle(granted, used));
        try {
            List<Action> actions = result.actions().stream().map(Action::parse).toList();
            host.record(live, new ProgramEvent.TurnEnded(step.path(), step.turn(), result.text(), actions, used));
        } catch (IllegalArgumentException nonsense) {
            host.record(live, new ProgramEvent.Stopped(ProgramEnd.FAILED, nonsense.getMessage()));
        }
        host.advance(live);
    }

    private void turnFailed(LiveProgram live, ProgramStep.RunTurn step, int granted, Throwable failure) {
        int charge = RunnerPool.mayHaveRun(failure) ? granted : 0;
        live.ledger(live.ledger().settle(granted, charge));
        if (step.path().equals(ProgramState.ROOT)) {
            live.provisional().setLength(0);
            live.attachments().forEach(each -> each.rewind(live.answerLength()));
        }
        if (charge > 0) {
            host.record(live, new ProgramEvent.TurnLost(step.path(), step.turn(), charge));
        }
        live.running().put(step.key(), NOTHING);
        Duration wait = BACKOFF.multipliedBy(1L << Math.min(MAX_BACKOFF_SHIFT, live.failedAgain()));
        loop.schedule(wait, () -> {
            live.running().remove(step.key());
            host.advance(live);
        });
    }

    private void beginCall(LiveProgram live, ProgramStep.MakeCall step) {
        Manifest current = manifest.manifest();
        OperationSpec known = current.tools().get(step.tool());
        OperationSpec spec = known != null ? known : current.services().get(step.tool());
        live.running().put(step.key(), NOTHING);
        if (spec == null) {
            callDone(live, step, new CallEnd(CallOutcome.FAILED, "no tool " + step.tool()));
            return;
        }
        if (spec.repeatable()) {
            send(live, step, spec);
            return;
        }
        if (live.state().unknown().contains(step.tool() + " " + step.arguments())) {
            callDone(live, step, new CallEnd(CallOutcome.BLOCKED, "an earlier call of this kind has no known outcome"));
            return;
        }
        host.record(live, new ProgramEvent.CallIntended(step.callId()))
                .durable()
                .thenRun(() -> send(live, step, spec));
    }

    private void send(LiveProgram live, ProgramStep.MakeCall step, OperationSpec spec) {
        if (!host.active(live) || live.state().hasEnded()) {
            return;
        }
        CallRequest request = new CallRequest(step.callId(), step.tool(), step.arguments());
        upstreams
                .calls()
                .run(spec, request, spec.repeatable() ? host.gate() : host.strictGate())
                .whenComplete((end, never) -> callDone(live, step, end));
    }

    private void callDone(LiveProgram live, ProgramStep.MakeCall step, CallEnd end) {
        if (!host.active(live) || live.running().remove(step.key()) == null) {
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
