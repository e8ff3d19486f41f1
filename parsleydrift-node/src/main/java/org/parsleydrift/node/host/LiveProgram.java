package org.parsleydrift.node.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.journal.JournalEntry;
import org.parsleydrift.kernel.LoopTimer;
import org.parsleydrift.program.BudgetLedger;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramMachine;
import org.parsleydrift.program.ProgramState;

/** A program on its owner: its state, running steps and attached callers. Confined to the node's event loop. */
final class LiveProgram {
    private ProgramState state;
    private BudgetLedger ledger;
    private final Map<String, LoopTimer> running = new HashMap<>();
    private final Map<String, Integer> undurableTurns = new HashMap<>();
    private final List<Attachment> attachments = new ArrayList<>();
    private final StringBuilder provisional = new StringBuilder();
    private JournalEntry lastEntry;
    private long answerLength;
    private int failures;
    private int attempts;
    private long oldestNeeded;
    private boolean rewriting;
    private long heldUntilNanos = Long.MIN_VALUE;

    LiveProgram(ProgramState state) {
        this.state = state;
        this.ledger = new BudgetLedger(state.budget().tokens(), state.usage().tokens(), 0);
        this.answerLength = state.answer().length();
    }

    ProgramState state() {
        return state;
    }

    /** Applies an event that was appended to the journal as the given entry. */
    void apply(ProgramEvent event, JournalEntry entry) {
        state = ProgramMachine.apply(state, event);
        lastEntry = entry;
        if (event instanceof ProgramEvent.TurnEnded ended) {
            undurableTurns.merge(ended.path(), 1, Integer::sum);
            entry.durable().thenRun(() -> undurableTurns.merge(ended.path(), -1, Integer::sum));
            if (ended.path().equals(ProgramState.ROOT)) {
                answerLength += ended.text().length();
                provisional.setLength(0);
            }
        }
    }

    /** Completes when all events of the program so far are durable. */
    CompletableFuture<Void> durable() {
        return lastEntry == null ? CompletableFuture.completedFuture(null) : lastEntry.durable();
    }

    void journaled(JournalEntry entry) {
        lastEntry = entry;
    }

    boolean isDurable() {
        return lastEntry == null || lastEntry.durable().isDone();
    }

    int undurableTurns(String path) {
        return undurableTurns.getOrDefault(path, 0);
    }

    BudgetLedger ledger() {
        return ledger;
    }

    void ledger(BudgetLedger changed) {
        ledger = changed;
    }

    Map<String, LoopTimer> running() {
        return running;
    }

    List<Attachment> attachments() {
        return attachments;
    }

    StringBuilder provisional() {
        return provisional;
    }

    /** Returns the length of the answer up to the last completed turn, in characters. */
    long answerLength() {
        return answerLength;
    }

    /** Returns the answer including the output of the running turn. */
    String shown() {
        return state.answer() + provisional;
    }

    int failedAgain() {
        return failures++;
    }

    void succeeded() {
        failures = 0;
    }

    int nextAttempt() {
        return attempts++;
    }

    /** Returns the oldest journal segment that is needed to reconstruct this program. */
    long oldestNeeded() {
        return oldestNeeded;
    }

    void oldestNeeded(long sequence) {
        oldestNeeded = sequence;
    }

    /** Returns whether the state is being rewritten to the journal. */
    boolean rewriting() {
        return rewriting;
    }

    void rewriting(boolean now) {
        rewriting = now;
    }

    /** Returns the time before which no step may start, on the event loop's monotonic clock. */
    long heldUntilNanos() {
        return heldUntilNanos;
    }

    void heldUntilNanos(long nanos) {
        heldUntilNanos = nanos;
    }
}
