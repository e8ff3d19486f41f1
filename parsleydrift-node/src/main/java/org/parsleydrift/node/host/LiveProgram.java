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

/** A program on its owner: its state, running steps and attached callers. Confined to the node's event loop. */
final class LiveProgram {
    private ProgramState state;
    private BudgetLedger ledger;
    private final Map<String, Cancellable> runningSteps = new HashMap<>();
    private final Map<String, Integer> nonDurableTurns = new HashMap<>();
    private final List<Attachment> attachments = new ArrayList<>();
    private final StringBuilder provisional = new StringBuilder();
    private JournalEntry lastEntry;
    private long answerLength;
    private int failures;
    private int attempts;
    private long oldestReferencedSegment;
    private boolean rewriting;
    private long notBeforeNanos = Long.MIN_VALUE;

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
        state = ProgramStateMachine.apply(state, event);
        lastEntry = entry;
        if (event instanceof ProgramEvent.TurnEnded ended) {
            nonDurableTurns.merge(ended.path(), 1, Integer::sum);
            entry.durable().thenRun(() -> nonDurableTurns.merge(ended.path(), -1, Integer::sum));
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

    void setLastEntry(JournalEntry entry) {
        lastEntry = entry;
    }

    boolean isDurable() {
        return lastEntry == null || lastEntry.durable().isDone();
    }

    int nonDurableTurns(String path) {
        return nonDurableTurns.getOrDefault(path, 0);
    }

    BudgetLedger ledger() {
        return ledger;
    }

    void setLedger(BudgetLedger changed) {
        ledger = changed;
    }

    Map<String, Cancellable> runningSteps() {
        return runningSteps;
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
    String visibleAnswer() {
        return state.answer() + provisional;
    }

    int recordFailure() {
        return failures++;
    }

    void resetFailures() {
        failures = 0;
    }

    int nextAttempt() {
        return attempts++;
    }

    /** Returns the oldest journal segment that is needed to reconstruct this program. */
    long oldestReferencedSegment() {
        return oldestReferencedSegment;
    }

    void setOldestReferencedSegment(long sequence) {
        oldestReferencedSegment = sequence;
    }

    /** Returns whether the state is being rewritten to the journal. */
    boolean isRewriting() {
        return rewriting;
    }

    void setRewriting(boolean isRewriting) {
        rewriting = isRewriting;
    }

    /** Returns the time before which no step may start, on the event loop's monotonic clock. */
    long notBeforeNanos() {
        return notBeforeNanos;
    }

    void setNotBeforeNanos(long nanos) {
        notBeforeNanos = nanos;
    }
}
