package org.parsleydrift.bench;

import java.time.Duration;
import java.util.List;
import org.parsleydrift.node.EntryAssignment;
import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.node.caller.CallerRequest;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.program.ProgramId;
import org.parsleydrift.tools.AnswerCheck;
import org.parsleydrift.tools.ProgramAnswer;

/**
 * A caller of one program: asks which node to use, starts the program, sends its messages, reads its answer, and asks
 * again with the same key wherever a connection breaks. It checks each piece that it gets.
 */
public final class FleetCaller {
    private static final Duration PAUSE = Duration.ofMillis(200);
    private static final Duration SILENCE = Duration.ofSeconds(5);

    private final Fleet fleet;
    private final String key;
    private final String agent;
    private final String prompt;
    private final int messages;
    private final StringBuilder text = new StringBuilder();
    private ProgramId id;
    private FleetNode connectedTo;
    private Runnable connection = () -> {};
    private int attempt;
    private int messagesSent;
    private boolean handed;
    private boolean started;
    private boolean closed;
    private ProgramAnswer answer;
    private CallerReply.Refused refusal;
    private long startedNanos;
    private long endedNanos;
    private long lastReplyNanos;

    /**
     * Makes a caller that does nothing yet.
     *
     * @param fleet the fleet
     * @param key the caller's key
     * @param prompt the program's first input
     * @param messages how many messages it sends
     */
    public FleetCaller(Fleet fleet, String key, String prompt, int messages) {
        this(fleet, key, "a", prompt, messages);
    }

    FleetCaller(Fleet fleet, String key, String agent, String prompt, int messages) {
        this.fleet = fleet;
        this.key = key;
        this.agent = agent;
        this.prompt = prompt;
        this.messages = messages;
    }

    /** Begins. */
    public void begin() {
        startedNanos = fleet.scheduler().nanos();
        lastReplyNanos = startedNanos;
        askEntry();
        watch();
    }

    /**
     * Whether nothing more will come.
     *
     * @return true with an answer or a final refusal
     */
    public boolean done() {
        return answer != null || refusal != null;
    }

    /**
     * The whole answer.
     *
     * @return the answer, or null
     */
    public ProgramAnswer answer() {
        return answer;
    }

    /**
     * The final refusal.
     *
     * @return the refusal, or null
     */
    public CallerReply.Refused refusal() {
        return refusal;
    }

    /**
     * The program's id.
     *
     * @return the id, or null before the first ticket
     */
    public ProgramId id() {
        return id;
    }

    /**
     * What it has read so far.
     *
     * @return the text
     */
    public String text() {
        return text.toString();
    }

    /**
     * Time from the first request to the whole answer.
     *
     * @return virtual nanoseconds
     */
    public long latencyNanos() {
        return endedNanos - startedNanos;
    }

    /**
     * Checks the answer token by token.
     *
     * @return what is wrong, or an empty text
     */
    public String fault() {
        if (answer == null) {
            return "no answer" + (refusal == null ? "" : ": " + refusal);
        }
        return "complete".equals(answer.end())
                ? AnswerCheck.fault(key, answer)
                : "end " + answer.end() + " " + answer.detail();
    }

    private void askEntry() {
        if (closed) {
            return;
        }
        List<FleetNode> up = fleet.live();
        if (up.isEmpty()) {
            later(this::askEntry);
            return;
        }
        FleetNode node = up.get(fleet.random().nextInt(up.size()));
        connectedTo = node;
        connection.run();
        int mine = ++attempt;
        node.run(() -> {
            if (mine != attempt) {
                return;
            }
            if (id == null) {
                node.node()
                        .assignEntryNode("team")
                        .map(EntryAssignment::ticket)
                        .ifPresent(ticket -> id = ProgramId.parse(ticket + "~team~" + key));
            }
            if (id == null) {
                later(this::askEntry);
            } else {
                proceed(node, mine);
            }
        });
    }

    private void proceed(FleetNode node, int mine) {
        CallerRequest next;
        if (!started) {
            next = new CallerRequest.Start(id, agent, prompt, !handed);
            handed = true;
        } else if (messagesSent < messages) {
            next = new CallerRequest.Send(id, "message" + messagesSent, "text " + messagesSent);
        } else {
            next = new CallerRequest.Attach(id, text.length());
        }
        Runnable cancel = node.node().open(next, reply -> {
            if (mine == attempt && !closed) {
                lastReplyNanos = fleet.scheduler().nanos();
                take(node, mine, reply);
            }
        });
        connection = () -> node.run(cancel);
    }

    private void take(FleetNode node, int mine, CallerReply reply) {
        switch (reply) {
            case CallerReply.Accepted ignored -> {
                if (started) {
                    messagesSent++;
                }
                started = true;
                node.run(() -> proceed(node, mine));
            }
            case CallerReply.Output output -> {
                if (output.offset() != text.length()) {
                    throw new AssertionError(id + " got offset " + output.offset() + " at " + text.length());
                }
                text.append(output.text());
            }
            case CallerReply.Rewind rewind -> text.setLength((int) rewind.offset());
            case CallerReply.Ended ended ->
                finish(new ProgramAnswer(
                        text.toString(),
                        ended.end().name().toLowerCase(java.util.Locale.ROOT),
                        ended.detail(),
                        ended.length()));
            case CallerReply.Refused refused -> refused(refused);
            case CallerReply.Answer ignored -> finish(new ProgramAnswer("", "complete", "", 0));
            case CallerReply.Explained ignored -> throw new AssertionError("not asked for");
            case CallerReply.Moved ignored -> throw new AssertionError("a caller must not see this");
            case CallerReply.Progress ignored -> {
                return;
            }
        }
    }

    private void refused(CallerReply.Refused refused) {
        if (refused.kind() == RefusalKind.NOT_RUN && !started) {
            // Believes it, and never asks again: nothing of the program may be found anywhere.
            refusal = refused;
            close();
        } else if (refused.retryAfterMillis() > 0) {
            attempt++;
            later(this::askEntry);
        } else {
            refusal = refused;
            close();
        }
    }

    private void finish(ProgramAnswer whole) {
        answer = whole;
        close();
    }

    private void close() {
        closed = true;
        endedNanos = fleet.scheduler().nanos();
    }

    /** A caller's own look at its connection: a node that died or fell silent is left for another. */
    private void watch() {
        if (closed) {
            return;
        }
        boolean broken = connectedTo != null && !connectedTo.alive();
        boolean silent = fleet.scheduler().nanos() - lastReplyNanos > SILENCE.toNanos();
        if (broken || silent) {
            lastReplyNanos = fleet.scheduler().nanos();
            askEntry();
        }
        fleet.outside().schedule(PAUSE, this::watch);
    }

    private void later(Runnable task) {
        fleet.outside().schedule(PAUSE, task);
    }
}
