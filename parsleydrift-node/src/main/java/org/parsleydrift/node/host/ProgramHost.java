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
import org.parsleydrift.node.manifest.CurrentManifest;
import org.parsleydrift.program.ProgramEnd;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.program.ProgramState;
import org.parsleydrift.program.ProgramStateMachine;

/** Runs the programs that this incarnation owns and records them in its journal. Confined to the node's event loop. */
public final class ProgramHost {
    private static final Logger LOG = System.getLogger(ProgramHost.class.getName());
    private static final long OUTAGE_RETRY_AFTER_MILLIS = 2000;
    private static final int MAX_PROMPT_CHARACTERS = 256 * 1024;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final NodeSettings.Timings timings;
    private final JournalWriter journal;
    private final CurrentManifest manifest;
    private final StepExecutor stepExecutor;
    private final PauseGuard guard;
    private final EffectGate leaseGate;
    private final AdmissionController admission;
    private final AdoptionMarkers markers;
    private final Map<ProgramId, LiveProgram> programs = new LinkedHashMap<>();
    private boolean stopped;
    private boolean draining;

    /**
     * Creates a host without programs.
     *
     * @param environment event loop, metrics and random source
     * @param timings timeouts and retention periods
     * @param journal this incarnation's journal
     * @param manifest the current manifest
     * @param upstreams execute the turns and calls of programs
     */
    public ProgramHost(
            NodeEnvironment environment,
            NodeSettings.Timings timings,
            JournalWriter journal,
            CurrentManifest manifest,
            Upstreams upstreams) {
        this.environment = environment;
        this.loop = environment.loop();
        this.timings = timings;
        this.journal = journal;
        this.manifest = manifest;
        this.stepExecutor = new StepExecutor(environment, this, manifest, upstreams);
        this.admission = new AdmissionController(loop, timings, journal, manifest);
        this.guard = new PauseGuard(loop, timings.pauseThreshold(), this::verifyOwnership);
        this.leaseGate = new OwnershipLeaseGate(guard, journal, timings.platformTimeout(), this::verifyOwnership);
        this.markers = new AdoptionMarkers(journal);
    }

    /**
     * Handles a request about a program that this node owns. Replies {@link CallerReply.Moved} after {@link #stop()}.
     *
     * @param request the request
     * @param sink receives the replies
     * @return cancels the delivery of further replies
     */
    public Runnable handle(CallerRequest request, ReplySink sink) {
        if (stopped) {
            sink.reply(new CallerReply.Moved());
            return () -> {};
        }
        return switch (request) {
            case CallerRequest.Start start -> start(start, sink);
            case CallerRequest.CallService call -> start(call, sink);
            case CallerRequest.Send send -> withProgram(send, sink, live -> send(live, send, sink));
            case CallerRequest.Attach attach -> withProgram(attach, sink, live -> attach(live, attach.offset(), sink));
            case CallerRequest.Cancel cancel -> withProgram(cancel, sink, live -> cancel(live, sink));
            case CallerRequest.Explain explain -> withProgram(explain, sink, live -> explain(live, sink));
        };
    }

    /**
     * Writes the programs of a share, followed by an adoption marker. They do not run until {@link #resume}.
     *
     * @param share text of the share's id
     * @param states states of its programs
     * @return completes when the marker is durable; fails if this journal is sealed
     */
    public CompletableFuture<Void> persistShare(String share, List<ProgramState> states) {
        markers.retainJournal(share);
        states.forEach(state -> Snapshots.appendTakenIn(journal, share, state));
        return markers.write(share);
    }

    /**
     * Resumes programs whose adoption is durable.
     *
     * @param states states of the programs
     */
    public void resume(List<ProgramState> states) {
        states.forEach(state -> {
            LiveProgram live = new LiveProgram(state);
            programs.put(state.id(), live);
            live.setOldestReferencedSegment(1);
            rewrite(live);
            if (state.hasEnded()) {
                scheduleRemoval(live);
            } else {
                stepExecutor.settleInterruptedSteps(live);
                scheduleTimeLimit(live);
                advance(live);
            }
        });
    }

    /**
     * Stops retaining an adoption marker, once the node record shows the share as adopted.
     *
     * @param share text of the share's id
     */
    public void removeMarker(String share) {
        markers.remove(share);
    }

    /** Verifies by a journal write that the journal is not sealed. */
    CompletableFuture<Void> verifyOwnership() {
        return journal.append(MessagePackCodec.encode(new JournalRecord.Probe()))
                .durable();
    }

    /** Starts no further steps; running steps complete. */
    public void drain() {
        draining = true;
    }

    /**
     * Returns whether no step is running and all records are durable.
     *
     * @return true if the journal can be sealed without interrupting a step
     */
    public boolean isIdle() {
        return journal.isIdle()
                && programs.values().stream()
                        .allMatch(live -> live.runningSteps().isEmpty());
    }

    /** Stops all programs, since another node owns them now, and replies {@link CallerReply.Moved} to their callers. */
    public void stop() {
        stopped = true;
        guard.stop();
        programs.values().forEach(live -> {
            live.runningSteps().values().forEach(Cancellable::cancel);
            live.runningSteps().clear();
            List.copyOf(live.attachments()).forEach(each -> each.end(new CallerReply.Moved()));
        });
        programs.clear();
    }

    /**
     * Returns the programs of this host.
     *
     * @return states by id, including programs that ended within the retention period
     */
    public Map<ProgramId, ProgramState> states() {
        Map<ProgramId, ProgramState> states = new HashMap<>();
        programs.forEach((id, live) -> states.put(id, live.state()));
        return states;
    }

    /**
     * Returns whether this host has a program that has not ended.
     *
     * @param id the program
     * @return false if the program has ended or is unknown
     */
    public boolean isRunning(ProgramId id) {
        LiveProgram live = programs.get(id);
        return live != null && !live.state().hasEnded();
    }

    /** Rewrites the programs and markers that need segments below the given sequence number. */
    void rewriteOlderThan(long sequence) {
        programs.values().stream()
                .filter(live -> live.oldestReferencedSegment() < sequence)
                .filter(live -> !live.isRewriting())
                .toList()
                .forEach(this::rewrite);
        markers.rewriteOlderThan(sequence);
    }

    /** Returns the lowest segment that a program or an adoption marker needs. */
    long oldestReferencedSegment() {
        long programsFrom = programs.values().stream()
                .mapToLong(LiveProgram::oldestReferencedSegment)
                .min()
                .orElse(Long.MAX_VALUE);
        return Math.min(journal.durableSequence() + 1, Math.min(programsFrom, markers.oldestReferencedSegment()));
    }

    private void rewrite(LiveProgram live) {
        long from = journal.durableSequence() + 1;
        live.setRewriting(true);
        Snapshots.append(journal, live);
        live.durable().thenRun(() -> {
            live.setRewriting(false);
            live.setOldestReferencedSegment(from);
        });
    }

    private void scheduleTimeLimit(LiveProgram live) {
        long now = loop.clock().instant().toEpochMilli();
        long end = live.state().startedMillis() + live.state().budget().seconds() * 1000L;
        loop.schedule(Duration.ofMillis(Math.max(0, end - now) + 1), () -> advance(live));
    }

    boolean isActive(LiveProgram live) {
        return !stopped && programs.get(live.state().id()) == live;
    }

    /** Appends an event to the journal and applies it. */
    JournalEntry record(LiveProgram live, ProgramEvent event) {
        ProgramId id = live.state().id();
        boolean wasOver = live.state().hasEnded();
        JournalEntry entry = journal.append(MessagePackCodec.encode(new JournalRecord.OfProgram(id, event)));
        live.apply(event, entry);
        if (!wasOver && live.state().hasEnded()) {
            handleEnd(live);
        }
        entry.durable().thenRun(() -> advance(live));
        return entry;
    }

    /** Returns the gate for repeatable calls, which delays them after a pause until ownership is verified. */
    EffectGate effectGate() {
        return guard;
    }

    /** Returns the gate for effects that must not follow those of a successor. */
    EffectGate leaseGate() {
        return leaseGate;
    }

    /**
     * Delays a program until its former owner can no longer make a call: its lease lasts for the platform timeout, plus
     * a pause too short to be detected.
     */
    void delayUntilLeaseExpiry(LiveProgram live) {
        Duration wait = timings.platformTimeout().plus(timings.pauseThreshold());
        live.setNotBeforeNanos(loop.clock().nanos() + wait.toNanos());
        loop.schedule(wait.plusMillis(1), () -> advance(live));
    }

    /** Starts the next steps of a program that are not running yet. */
    void advance(LiveProgram live) {
        Runnable begin = () -> {
            if (isActive(live) && !draining && loop.clock().nanos() >= live.notBeforeNanos()) {
                long now = loop.clock().instant().toEpochMilli();
                ProgramStateMachine.nextSteps(live.state(), now).stream()
                        .filter(step -> !live.runningSteps().containsKey(step.key()))
                        .toList()
                        .forEach(step -> stepExecutor.start(live, step));
            }
        };
        guard.pass(begin, () -> {});
    }

    private Runnable start(CallerRequest.Start start, ReplySink sink) {
        LiveProgram existing = programs.get(start.id());
        if (existing != null) {
            return acceptRepeat(existing, existing.state().agent().equals(start.agent()), sink);
        }
        Optional<CallerReply.Refused> refusal = admission.refusal(start.id(), start.first());
        if (refusal.isPresent()) {
            return Refusals.refuse(sink, refusal.get());
        }
        ManifestVersion version = manifest.version();
        AgentSpec spec = manifest.manifest().agents().get(start.agent());
        if (spec == null || start.prompt().length() > MAX_PROMPT_CHARACTERS) {
            String reason = spec == null
                    ? "no agent " + start.agent() + " in manifest generation " + version.generation()
                    : "prompt has " + start.prompt().length() + " characters, limit is " + MAX_PROMPT_CHARACTERS;
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
        scheduleTimeLimit(live);
        return replyWhenDurable(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable start(CallerRequest.CallService call, ReplySink sink) {
        LiveProgram existing = programs.get(call.id());
        if (existing != null) {
            boolean sameRequest = existing.state().agent().equals(call.service());
            return sameRequest
                    ? attach(existing, 0, sink)
                    : Refusals.refuse(sink, Refusals.badRequest("id " + call.id() + " is used by another request"));
        }
        Optional<CallerReply.Refused> refusal = admission.refusal(call.id(), call.first());
        if (refusal.isPresent()) {
            return Refusals.refuse(sink, refusal.get());
        }
        if (!manifest.manifest().services().containsKey(call.service())) {
            return Refusals.refuse(sink, Refusals.badRequest("no service " + call.service() + " in the manifest"));
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
        live.setOldestReferencedSegment(journal.durableSequence() + 1);
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
     * Replies once all events of the program are durable. If the platform does not answer in time, the events may still
     * become durable, so the request is refused with an unknown outcome.
     */
    private Runnable replyWhenDurable(LiveProgram live, ReplySink sink, Runnable reply) {
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
                        "the platform has not answered the journal write; retry with the same key",
                        OUTAGE_RETRY_AFTER_MILLIS));
            }
        });
        return () -> replied[0] = true;
    }

    private Runnable acceptRepeat(LiveProgram live, boolean sameRequest, ReplySink sink) {
        if (!sameRequest) {
            return Refusals.refuse(
                    sink, Refusals.badRequest("id " + live.state().id() + " is used by another request"));
        }
        return replyWhenDurable(live, sink, () -> sink.reply(accepted(live)));
    }

    private static CallerReply accepted(LiveProgram live) {
        return new CallerReply.Accepted(live.state().id(), live.state().generation());
    }

    private Runnable send(LiveProgram live, CallerRequest.Send send, ReplySink sink) {
        if (live.state().hasEnded() && !live.state().messages().containsKey(send.key())) {
            return Refusals.refuse(
                    sink, Refusals.notRun("program has ended: " + live.state().end(), 0));
        }
        if (!live.state().messages().containsKey(send.key())) {
            record(live, new ProgramEvent.MessageArrived(send.key(), send.text()));
            advance(live);
        }
        return replyWhenDurable(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable cancel(LiveProgram live, ReplySink sink) {
        if (!live.state().hasEnded()) {
            record(live, new ProgramEvent.Stopped(ProgramEnd.CANCELLED, "by the caller"));
        }
        return replyWhenDurable(live, sink, () -> sink.reply(accepted(live)));
    }

    private Runnable attach(LiveProgram live, long offset, ReplySink sink) {
        Attachment attachment = new Attachment(sink, offset);
        live.attachments().add(attachment);
        attachment.sendMissing(live.visibleAnswer());
        notifyEnd(live);
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
     * Applies an action to a program of this host. An unknown program is refused only under a lease, since a
     * partitioned node may have lost its journal to a successor that has the program.
     */
    private Runnable withProgram(CallerRequest request, ReplySink sink, Function<LiveProgram, Runnable> action) {
        LiveProgram live = programs.get(request.id());
        if (live != null) {
            return action.apply(live);
        }
        leaseGate.pass(() -> sink.reply(Refusals.unknown(request.id())), () -> sink.reply(new CallerReply.Moved()));
        return () -> {};
    }

    private void handleEnd(LiveProgram live) {
        live.runningSteps().values().forEach(Cancellable::cancel);
        live.runningSteps().clear();
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
        stepExecutor.release(state.id());
        live.durable().thenRun(() -> notifyEnd(live));
        scheduleRemoval(live);
    }

    /** Notifies callers of the end once it is durable; before that, a successor could reach a different end. */
    private void notifyEnd(LiveProgram live) {
        if (!live.state().hasEnded() || !live.isDurable() || live.durable().isCompletedExceptionally()) {
            return;
        }
        ProgramState state = live.state();
        String answer = state.answer();
        List<Attachment> all = new ArrayList<>(live.attachments());
        live.attachments().clear();
        boolean plainCall = PlainCalls.isPlainCall(state);
        all.forEach(each -> {
            if (plainCall) {
                each.end(PlainCalls.answer(state));
            } else {
                each.sendMissing(answer);
                each.end(new CallerReply.Ended(state.end(), state.detail(), answer.length()));
            }
        });
    }

    private void scheduleRemoval(LiveProgram live) {
        loop.schedule(timings.answerRetention(), () -> {
            if (isActive(live)) {
                programs.remove(live.state().id());
            }
        });
    }
}
