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
 * A simulated caller of one program: requests an entry node, starts the program, sends its messages and reads its
 * answer. It reconnects with the same idempotency key when a connection breaks, and verifies the offset of each output.
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
     * Creates a caller without sending a request.
     *
     * @param fleet the fleet that runs the program
     * @param key the idempotency key, unique in the fleet
     * @param prompt the program's first input
     * @param messages the number of messages sent after the start
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

    /** Sends the first request and starts to monitor the connection. */
    public void begin() {
        startedNanos = fleet.scheduler().nanos();
        lastReplyNanos = startedNanos;
        requestEntryNode();
        watchConnection();
    }

    /**
     * Returns whether the program has ended for this caller.
     *
     * @return true after a complete answer or a final refusal
     */
    public boolean isDone() {
        return answer != null || refusal != null;
    }

    /**
     * Returns the complete answer.
     *
     * @return the answer, or null while the program runs or after a refusal
     */
    public ProgramAnswer answer() {
        return answer;
    }

    /**
     * Returns the final refusal.
     *
     * @return the refusal, or null if the program was not refused
     */
    public CallerReply.Refused refusal() {
        return refusal;
    }

    /**
     * Returns the program's id.
     *
     * @return the id, or null before an entry node is assigned
     */
    public ProgramId id() {
        return id;
    }

    /**
     * Returns the output received so far.
     *
     * @return the text, empty before the first output
     */
    public String text() {
        return text.toString();
    }

    /**
     * Returns the time from the first request to the answer or final refusal.
     *
     * @return virtual nanoseconds
     */
    public long latencyNanos() {
        return endedNanos - startedNanos;
    }

    /**
     * Verifies the answer token by token.
     *
     * @return a description of the first mismatch, or an empty string if the answer is correct
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
                    throw new AssertionError(
                            id + " received output at offset " + output.offset() + ", expected " + text.length());
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
            case CallerReply.Explained ignored -> throw new AssertionError(id + " received an unrequested explanation");
            case CallerReply.Moved ignored -> throw new AssertionError(id + " received a reply reserved for nodes");
            case CallerReply.Progress ignored -> {
                return;
            }
        }
    }

    private void handleRefusal(CallerReply.Refused refused) {
        if (refused.kind() == RefusalKind.NOT_RUN && !started) {
            // Never retries, so that the run can verify that a refused program left no effects.
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

    /** Reconnects to another node if the current one died or exceeded the idle timeout. */
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
