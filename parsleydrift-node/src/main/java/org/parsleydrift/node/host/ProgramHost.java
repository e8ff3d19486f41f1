package org.parsleydrift.node.host;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.parsleydrift.journal.JournalEntry;
import org.parsleydrift.journal.JournalWriter;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.manifest.AgentSpec;
import org.parsleydrift.manifest.ManifestVersion;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.node.NodeSettings;
import org.parsleydrift.node.call.EffectGate;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.node.caller.ReplySink;
import org.parsleydrift.node.manifest.ManifestInForce;
import org.parsleydrift.program.ProgramEnd;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;
import org.parsleydrift.program.ProgramStateMachine;

/** The programs that this incarnation owns. Confined to the node's loop. */
public final class ProgramHost {
    private static final Logger LOG = System.getLogger(ProgramHost.class.getName());
    private static final long OUTAGE_RETRY_MILLIS = 2000;
    private static final int MAX_PROMPT = 256 * 1024;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final JournalWriter journal;
    private final ManifestInForce manifest;
    private final StepRunner steps;
    private final PauseGuard guard;
    private final EffectGate strictGate;
    private final AdmissionDoor door;
    private final AdoptionMarks marks;
    private final Map<ProgramId, LiveProgram> programs = new LinkedHashMap<>();
    private boolean stopped;
    private boolean draining;

    /**
     * Makes an empty host.
     *
     * @param environment the outside
     * @param timings limits
     * @param journal this incarnation's journal
     * @param manifest the manifest in force
     * @param upstreams where steps are carried out
     */
    public ProgramHost(
            NodeEnvironment environment,
            NodeSettings.Timings timings,
            JournalWriter journal,
            ManifestInForce manifest,
            Upstreams upstreams) {
        this.environment = environment;
        this.loop = environment.loop();
        this.timings = timings;
        this.journal = journal;
        this.manifest = manifest;
        this.steps = new StepRunner(environment, this, manifest, upstreams);
        this.door = new AdmissionDoor(loop, timings, journal, manifest);
        this.guard = new PauseGuard(loop, timings.pauseThreshold(), this::verifyOwnership);
        this.strictGate = new FreshProofGate(guard, journal, timings.platformTimeout(), this::verifyOwnership);
        this.marks = new AdoptionMarks(journal);
    }

    /**
     * Serves a request about a program that this node owns.
     *
     * @param request the request
     * @param sink receives the replies
     * @return ends the interest in further replies
     */
    public Runnable handle(CallerRequest request, ReplySink sink) {
        if (stopped) {
            sink.reply(new CallerReply.Moved());
            return () -> {};
        }
        return switch (request) {
            case CallerRequest.Start start -> begin(start, sink);
            case CallerRequest.CallService call -> begin(call, sink);
            case CallerRequest.Send send -> known(send, sink, live -> send(live, send, sink));
            case CallerRequest.Attach attach -> known(attach, sink, live -> attach(live, attach.offset(), sink));
            case CallerRequest.Cancel cancel -> known(cancel, sink, live -> cancel(live, sink));
            case CallerRequest.Explain explain -> known(explain, sink, live -> explain(live, sink));
        };
    }

    /**
     * Writes the programs of a share, and a mark behind them. They do not run before {@link #resume}.
     *
     * @param share the share
     * @param states its programs
     * @return completes when all are durable; fails if this journal is sealed
     */
    public CompletableFuture<Void> takeIn(String share, List<ProgramState> states) {
        marks.expect(share);
        states.forEach(state -> Snapshots.appendTakenIn(journal, share, state));
        return marks.write(share);
    }

    /**
     * Goes on with programs that were taken in durably.
     *
     * @param states their states
     */
    public void resume(List<ProgramState> states) {
        states.forEach(state -> {
            LiveProgram live = new LiveProgram(state);
            programs.put(state.id(), live);
            live.oldestNeeded(1);
            rewrite(live);
            if (state.hasEnded()) {
                forgetLater(live);
            } else {
                steps.settleLost(live);
                expireLater(live);
                advance(live);
            }
        });
    }

    /**
     * Stops keeping a mark: the node record tells that the share is here.
     *
     * @param share the share
     */
    public void forgetMark(String share) {
        marks.forget(share);
    }

    /** Writes an empty record, to learn whether the journal still belongs to this incarnation. */
    CompletableFuture<Void> verifyOwnership() {
        return journal.append(MessagePackCodec.encode(new JournalRecord.Probe()))
                .durable();
    }

    /** Begins no further step and no further program; what is under way goes on to its end. */
    public void drain() {
        draining = true;
    }

    /**
     * Whether nothing is under way and all is durable.
     *
     * @return true if the journal can be sealed without cutting a step
     */
    public boolean quiet() {
        return journal.isIdle()
                && programs.values().stream().allMatch(live -> live.running().isEmpty());
    }

    /** Ends all activity: another node owns the programs now. Callers are told to look for it. */
    public void stop() {
        stopped = true;
        guard.stop();
        programs.values().forEach(live -> {
            live.running().values().forEach(Cancellable::cancel);
            live.running().clear();
            List.copyOf(live.attachments()).forEach(each -> each.end(new CallerReply.Moved()));
        });
        programs.clear();
    }

    /**
     * The programs here.
     *
     * @return states by id, ended ones among them
     */
    public Map<ProgramId, ProgramState> states() {
        Map<ProgramId, ProgramState> states = new HashMap<>();
        programs.forEach((id, live) -> states.put(id, live.state()));
        return states;
    }

    /**
     * Whether a program is here and not over.
     *
     * @param id the program
     * @return true if it is under way
     */
    public boolean running(ProgramId id) {
        LiveProgram live = programs.get(id);
        return live != null && !live.state().hasEnded();
    }

    /**
     * Writes again whatever rests on segments below a number.
     *
     * @param sequence the number
     */
    void rewriteOlderThan(long sequence) {
        programs.values().stream()
                .filter(live -> live.oldestNeeded() < sequence)
                .filter(live -> !live.rewriting())
                .toList()
                .forEach(this::rewrite);
        marks.rewriteOlderThan(sequence);
    }

    /** The lowest segment on which a program or a mark rests. */
    long oldestNeeded() {
        long programsFrom = programs.values().stream()
                .mapToLong(LiveProgram::oldestNeeded)
                .min()
                .orElse(Long.MAX_VALUE);
        return Math.min(journal.durableSequence() + 1, Math.min(programsFrom, marks.oldestNeeded()));
    }

    private void rewrite(LiveProgram live) {
        long from = journal.durableSequence() + 1;
        live.rewriting(true);
        Snapshots.append(journal, live);
        live.durable().thenRun(() -> {
            live.rewriting(false);
            live.oldestNeeded(from);
        });
    }

    private void expireLater(LiveProgram live) {
        long now = loop.clock().instant().toEpochMilli();
        long end = live.state().startedMillis() + live.state().budget().seconds() * 1000L;
        loop.schedule(Duration.ofMillis(Math.max(0, end - now) + 1), () -> advance(live));
    }

    boolean active(LiveProgram live) {
        return !stopped && programs.get(live.state().id()) == live;
    }

    /** Hands an event to the journal and applies it. */
    JournalEntry record(LiveProgram live, ProgramEvent event) {
        ProgramId id = live.state().id();
        boolean wasOver = live.state().hasEnded();
        JournalEntry entry = journal.append(MessagePackCodec.encode(new JournalRecord.OfProgram(id, event)));
        live.apply(event, entry);
        if (!wasOver && live.state().hasEnded()) {
            ended(live);
        }
        entry.durable().thenRun(() -> advance(live));
        return entry;
    }

    /** Stands before effects outside: they wait after a pause until this node is known to own its programs. */
    EffectGate gate() {
        return guard;
    }

    /** Stands before effects that must not come late, behind those of a successor. */
    EffectGate strictGate() {
        return strictGate;
    }

    /**
     * Lets a program wait whose former owner may still send a call: its proof of ownership is good for the platform's
     * timeout, and a pause shorter than the guard notices may come on top.
     */
    void holdBack(LiveProgram live) {
        Duration wait = timings.platformTimeout().plus(timings.pauseThreshold());
        live.heldUntilNanos(loop.clock().nanos() + wait.toNanos());
        loop.schedule(wait.plusMillis(1), () -> advance(live));
    }

    /** Begins whatever the program needs next and is not under way. */
    void advance(LiveProgram live) {
        Runnable begin = () -> {
            if (active(live) && !draining && loop.clock().nanos() >= live.heldUntilNanos()) {
                long now = loop.clock().instant().toEpochMilli();
                ProgramStateMachine.nextSteps(live.state(), now).stream()
                        .filter(step -> !live.running().containsKey(step.key()))
                        .toList()
                        .forEach(step -> steps.begin(live, step));
            }
        };
        guard.pass(begin, () -> {});
    }

    private Runnable begin(CallerRequest.Start start, ReplySink sink) {
        LiveProgram known = programs.get(start.id());
        if (known != null) {
            return repeated(known, known.state().agent().equals(start.agent()), sink);
        }
        Optional<CallerReply.Refused> refusal = door.refusal(start.id(), start.first());
        if (refusal.isPresent()) {
            return Refusals.refuse(sink, refusal.get());
        }
        ManifestVersion version = manifest.version();
        AgentSpec spec = manifest.manifest().agents().get(start.agent());
        if (spec == null || start.prompt().length() > MAX_PROMPT) {
            String reason = spec == null ? "no agent " + start.agent() : "prompt over " + MAX_PROMPT + " characters";
            return Refusals.refuse(sink, Refusals.badRequest(reason));
        }
        var started = new ProgramEvent.Started(
                start.id(),
                start.agent(),
                start.prompt(),
                spec.budget(),
                version.generation(),
                loop.clock().instant().toEpochMilli());
        LiveProgram live = add(ProgramStateMachine.start(started), started);
        expireLater(live);
        return whenAccepted(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable begin(CallerRequest.CallService call, ReplySink sink) {
        LiveProgram known = programs.get(call.id());
        if (known != null) {
            boolean same = known.state().agent().equals(call.service());
            return same
                    ? attach(known, 0, sink)
                    : Refusals.refuse(sink, Refusals.badRequest("the key was used for another request"));
        }
        Optional<CallerReply.Refused> refusal = door.refusal(call.id(), call.first());
        if (refusal.isPresent()) {
            return Refusals.refuse(sink, refusal.get());
        }
        if (!manifest.manifest().services().containsKey(call.service())) {
            return Refusals.refuse(sink, Refusals.badRequest("no service " + call.service()));
        }
        var started = new ProgramEvent.CallStarted(
                call.id(),
                call.service(),
                call.body(),
                manifest.version().generation(),
                loop.clock().instant().toEpochMilli());
        LiveProgram live = add(ProgramStateMachine.start(started), started);
        advance(live);
        return attach(live, 0, sink);
    }

    private LiveProgram add(ProgramState state, ProgramEvent first) {
        LiveProgram live = new LiveProgram(state);
        programs.put(state.id(), live);
        live.oldestNeeded(journal.durableSequence() + 1);
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("program_accepted")
                        .with("program", state.id())
                        .with("agent", state.agent())
                        .with("generation", state.generation())
                        .toString());
        environment.meters().counter("parsleydrift.programs.started").increment();
        record(live, first);
        return live;
    }

    /**
     * Replies once all that happened to the program is durable. If the platform does not answer in time the record may
     * be durable or may yet become so: nobody can know, and the caller is told so.
     */
    private Runnable whenAccepted(LiveProgram live, ReplySink sink, Runnable reply) {
        boolean[] replied = {false};
        live.durable().whenComplete((done, failure) -> {
            if (!replied[0]) {
                replied[0] = true;
                if (failure == null) {
                    reply.run();
                } else {
                    sink.reply(new CallerReply.Moved());
                }
            }
        });
        loop.schedule(timings.outageThreshold(), () -> {
            if (!replied[0]) {
                replied[0] = true;
                sink.reply(new CallerReply.Refused(
                        RefusalKind.OUTCOME_UNKNOWN,
                        Step.COMMIT,
                        "platform",
                        "the platform does not answer; ask again with the same key",
                        OUTAGE_RETRY_MILLIS));
            }
        });
        return () -> replied[0] = true;
    }

    private Runnable repeated(LiveProgram live, boolean same, ReplySink sink) {
        if (!same) {
            return Refusals.refuse(sink, Refusals.badRequest("the key was used for another request"));
        }
        return whenAccepted(live, sink, () -> sink.reply(accepted(live)));
    }

    private static CallerReply accepted(LiveProgram live) {
        return new CallerReply.Accepted(live.state().id(), live.state().generation());
    }

    private Runnable send(LiveProgram live, CallerRequest.Send send, ReplySink sink) {
        if (live.state().hasEnded() && !live.state().messages().containsKey(send.key())) {
            return Refusals.refuse(sink, Refusals.notRun("the program is over", 0));
        }
        if (!live.state().messages().containsKey(send.key())) {
            record(live, new ProgramEvent.MessageArrived(send.key(), send.text()));
            advance(live);
        }
        return whenAccepted(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable cancel(LiveProgram live, ReplySink sink) {
        if (!live.state().hasEnded()) {
            record(live, new ProgramEvent.Stopped(ProgramEnd.CANCELLED, "by the caller"));
        }
        return whenAccepted(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable attach(LiveProgram live, long offset, ReplySink sink) {
        Attachment attachment = new Attachment(sink, offset);
        live.attachments().add(attachment);
        attachment.show(live.shown());
        tellEnd(live);
        return () -> {
            attachment.close();
            live.attachments().remove(attachment);
        };
    }

    private Runnable explain(LiveProgram live, ReplySink sink) {
        sink.reply(new CallerReply.Explained(ProgramFacts.of(live)));
        return () -> {};
    }

    /**
     * Acts on a program that is here. "Unknown" is said only on a fresh proof of ownership: a node that was cut off may
     * have lost its journal to a successor that knows the program well.
     */
    private Runnable known(CallerRequest request, ReplySink sink, Function<LiveProgram, Runnable> act) {
        LiveProgram live = programs.get(request.id());
        if (live != null) {
            return act.apply(live);
        }
        strictGate.pass(() -> sink.reply(Refusals.unknown(request.id())), () -> sink.reply(new CallerReply.Moved()));
        return () -> {};
    }

    private void ended(LiveProgram live) {
        live.running().values().forEach(Cancellable::cancel);
        live.running().clear();
        ProgramState state = live.state();
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("program_ended")
                        .with("program", state.id())
                        .with("end", state.end())
                        .with("detail", state.detail())
                        .with("turns", state.usage().turns())
                        .with("tokens", state.usage().tokens())
                        .toString());
        environment
                .meters()
                .counter("parsleydrift.programs.ended", "end", state.end().name())
                .increment();
        steps.release(state.id());
        live.durable().thenRun(() -> tellEnd(live));
        forgetLater(live);
    }

    /** Tells callers the end only once it is durable: a successor could otherwise come to another one. */
    private void tellEnd(LiveProgram live) {
        if (!live.state().hasEnded() || !live.isDurable() || live.durable().isCompletedExceptionally()) {
            return;
        }
        ProgramState state = live.state();
        String answer = state.answer();
        List<Attachment> all = new ArrayList<>(live.attachments());
        live.attachments().clear();
        boolean plainCall = PlainCalls.is(state);
        all.forEach(each -> {
            if (plainCall) {
                each.end(PlainCalls.answer(state));
            } else {
                each.show(answer);
                each.end(new CallerReply.Ended(state.end(), state.detail(), answer.length()));
            }
        });
    }

    private void forgetLater(LiveProgram live) {
        loop.schedule(timings.answerRetention(), () -> {
            if (active(live)) {
                programs.remove(live.state().id());
            }
        });
    }
}
