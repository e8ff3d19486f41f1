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
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

    private final Fleet fleet;
    private final String key;
    private final String agent;
    private final String prompt;
    private final int messageCount;
    private final StringBuilder text = new StringBuilder();
    private ProgramId id;
    private FleetNode connectedTo;
    private Runnable closeConnection = () -> {};
    private int attempt;
    private int messagesSent;
    private boolean startSent;
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
        this.messageCount = messages;
    }

    /** Begins. */
    public void begin() {
        startedNanos = fleet.scheduler().nanos();
        lastReplyNanos = startedNanos;
        requestEntryNode();
        watchConnection();
    }

    /**
     * Whether nothing more will come.
     *
     * @return true with an answer or a final refusal
     */
    public boolean isDone() {
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
    public String describeFault() {
        if (answer == null) {
            return "no answer" + (refusal == null ? "" : ": " + refusal);
        }
        return "complete".equals(answer.end())
                ? AnswerCheck.fault(key, answer)
                : "end " + answer.end() + " " + answer.detail();
    }

    private void requestEntryNode() {
        if (closed) {
            return;
        }
        List<FleetNode> liveNodes = fleet.liveNodes();
        if (liveNodes.isEmpty()) {
            scheduleRetry(this::requestEntryNode);
            return;
        }
        FleetNode node = liveNodes.get(fleet.random().nextInt(liveNodes.size()));
        connectedTo = node;
        closeConnection.run();
        int requestAttempt = ++attempt;
        node.run(() -> {
            if (requestAttempt != attempt) {
                return;
            }
            if (id == null) {
                node.node()
                        .assignEntryNode("team")
                        .map(EntryAssignment::ticket)
                        .ifPresent(ticket -> id = ProgramId.parse(ticket + "~team~" + key));
            }
            if (id == null) {
                scheduleRetry(this::requestEntryNode);
            } else {
                sendNextRequest(node, requestAttempt);
            }
        });
    }

    private void sendNextRequest(FleetNode node, int requestAttempt) {
        CallerRequest next;
        if (!started) {
            next = new CallerRequest.Start(id, agent, prompt, !startSent);
            startSent = true;
        } else if (messagesSent < messageCount) {
            next = new CallerRequest.Send(id, "message" + messagesSent, "text " + messagesSent);
        } else {
            next = new CallerRequest.Attach(id, text.length());
        }
        Runnable cancel = node.node().open(next, reply -> {
            if (requestAttempt == attempt && !closed) {
                lastReplyNanos = fleet.scheduler().nanos();
                handleReply(node, requestAttempt, reply);
            }
        });
        closeConnection = () -> node.run(cancel);
    }

    private void handleReply(FleetNode node, int requestAttempt, CallerReply reply) {
        switch (reply) {
            case CallerReply.Accepted ignored -> {
                if (started) {
                    messagesSent++;
                }
                started = true;
                node.run(() -> sendNextRequest(node, requestAttempt));
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
            case CallerReply.Refused refused -> handleRefusal(refused);
            case CallerReply.Answer ignored -> finish(new ProgramAnswer("", "complete", "", 0));
            case CallerReply.Explained ignored -> throw new AssertionError("not asked for");
            case CallerReply.Moved ignored -> throw new AssertionError("a caller must not see this");
            case CallerReply.Progress ignored -> {
                return;
            }
        }
    }

    private void handleRefusal(CallerReply.Refused refused) {
        if (refused.kind() == RefusalKind.NOT_RUN && !started) {
            // Believes it, and never asks again: nothing of the program may be found anywhere.
            refusal = refused;
            close();
        } else if (refused.retryAfterMillis() > 0) {
            attempt++;
            scheduleRetry(this::requestEntryNode);
        } else {
            refusal = refused;
            close();
        }
    }

    private void finish(ProgramAnswer completeAnswer) {
        answer = completeAnswer;
        close();
    }

    private void close() {
        closed = true;
        endedNanos = fleet.scheduler().nanos();
    }

    /** A caller's own look at its connection: a node that died or fell silent is left for another. */
    private void watchConnection() {
        if (closed) {
            return;
        }
        boolean broken = connectedTo != null && !connectedTo.isAlive();
        boolean silent = fleet.scheduler().nanos() - lastReplyNanos > IDLE_TIMEOUT.toNanos();
        if (broken || silent) {
            lastReplyNanos = fleet.scheduler().nanos();
            requestEntryNode();
        }
        fleet.externalLoop().schedule(RETRY_DELAY, this::watchConnection);
    }

    private void scheduleRetry(Runnable task) {
        fleet.externalLoop().schedule(RETRY_DELAY, task);
    }
}
