package org.parsleydrift.node.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.journal.JournalEntry;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.program.BudgetLedger;
import org.parsleydrift.program.ProgramEvent;
import org.parsleydrift.program.ProgramState;
import org.parsleydrift.program.ProgramStateMachine;

/** A program on its owner: its state, and what is under way for it. Confined to the node's loop. */
final class LiveProgram {
    private ProgramState state;
    private BudgetLedger ledger;
    private final Map<String, Cancellable> running = new HashMap<>();
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

    /** Applies an event that was handed to the journal as the given entry. */
    void apply(ProgramEvent event, JournalEntry entry) {
        state = ProgramStateMachine.apply(state, event);
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

    /** Completes when all that happened to the program so far is durable. */
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

    Map<String, Cancellable> running() {
        return running;
    }

    List<Attachment> attachments() {
        return attachments;
    }

    StringBuilder provisional() {
        return provisional;
    }

    /** Characters of the answer in ended turns. */
    long answerLength() {
        return answerLength;
    }

    /** The answer with what the turn under way has said so far. */
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

    /** The number of the oldest journal segment that this program's state rests on. */
    long oldestNeeded() {
        return oldestNeeded;
    }

    void oldestNeeded(long sequence) {
        oldestNeeded = sequence;
    }

    /** Whether its state is on its way into the journal again. */
    boolean rewriting() {
        return rewriting;
    }

    void rewriting(boolean now) {
        rewriting = now;
    }

    /** No step begins before this time of the loop's clock. */
    long heldUntilNanos() {
        return heldUntilNanos;
    }

    void heldUntilNanos(long nanos) {
        heldUntilNanos = nanos;
    }
}
