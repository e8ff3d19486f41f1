package org.parsleydrift.node.host;

import org.parsleydrift.node.caller.CallerReply;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.HistoryEntry;
import org.parsleydrift.program.ProgramState;

/** Reads the results of non-repeatable service calls of callers, which are recorded as programs of a single call. */
final class PlainCalls {
    private static final int ANSWER_FIELDS = 3;

    private PlainCalls() {}

    static boolean isPlainCall(ProgramState state) {
        return state.root().turns() == 0
                && state.root().history().stream().allMatch(entry -> entry.kind() == HistoryEntry.Kind.TOOL);
    }

    static CallerReply answer(ProgramState state) {
        return state.root().history().stream()
                .filter(entry -> entry.kind() == HistoryEntry.Kind.TOOL)
                .findFirst()
                .map(PlainCalls::answer)
                .orElseGet(() -> new CallerReply.Answer(CallOutcome.NOT_RUN, state.detail()));
    }

    private static CallerReply answer(HistoryEntry entry) {
        String[] parts = entry.text().split(" ", ANSWER_FIELDS);
        return new CallerReply.Answer(CallOutcome.valueOf(parts[1]), parts[2]);
    }
}
