package org.parsleydrift.node.caller;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.SequencedMap;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.ProgramEnd;
import org.parsleydrift.program.ProgramId;

/** Reply to a {@link CallerRequest}. A request gets any number of intermediate replies, then one final reply. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "r")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CallerReply.Accepted.class, name = "ok"),
    @JsonSubTypes.Type(value = CallerReply.Output.class, name = "out"),
    @JsonSubTypes.Type(value = CallerReply.Rewind.class, name = "rewind"),
    @JsonSubTypes.Type(value = CallerReply.Ended.class, name = "end"),
    @JsonSubTypes.Type(value = CallerReply.Answer.class, name = "answer"),
    @JsonSubTypes.Type(value = CallerReply.Explained.class, name = "why"),
    @JsonSubTypes.Type(value = CallerReply.Refused.class, name = "no"),
    @JsonSubTypes.Type(value = CallerReply.Moved.class, name = "moved"),
    @JsonSubTypes.Type(value = CallerReply.Progress.class, name = "alive")
})
public sealed interface CallerReply {
    /**
     * Returns whether this is the final reply to its request.
     *
     * @return false for output, rewind and progress
     */
    default boolean last() {
        return !(this instanceof Output || this instanceof Rewind || this instanceof Progress);
    }

    /**
     * The request is durable in the owner's journal.
     *
     * @param id the program
     * @param generation manifest generation that the program runs under
     */
    record Accepted(ProgramId id, long generation) implements CallerReply {}

    /**
     * Part of the answer.
     *
     * @param offset position of the text in the answer, in characters
     * @param text the part
     */
    record Output(long offset, String text) implements CallerReply {}

    /**
     * The output after an offset is void, since the turn that produced it failed and runs again.
     *
     * @param offset number of characters that stay valid
     */
    record Rewind(long offset) implements CallerReply {}

    /**
     * The program has ended and its answer is complete.
     *
     * @param end how the program ended
     * @param detail explanation of the end for people; may be empty
     * @param length length of the complete answer in characters
     */
    record Ended(ProgramEnd end, String detail, long length) implements CallerReply {}

    /**
     * Result of a service call outside an agent program.
     *
     * @param outcome how the call ended
     * @param body the upstream's response, or the reason of the failure
     */
    record Answer(CallOutcome outcome, String body) implements CallerReply {}

    /**
     * Diagnostic state of a program.
     *
     * @param facts values by name, in display order
     */
    record Explained(SequencedMap<String, String> facts) implements CallerReply {}

    /**
     * The request was refused or failed.
     *
     * @param kind what the caller may conclude about the request's effects
     * @param step processing step that failed
     * @param peer the other party of that step
     * @param message explanation for people
     * @param retryAfterMillis delay before a retry; 0 if a retry does not help
     */
    record Refused(RefusalKind kind, Step step, String peer, String message, long retryAfterMillis)
            implements CallerReply {}

    /** The receiver does not own the program, or not yet: the entry node must retry. Never sent to a caller. */
    record Moved() implements CallerReply {}

    /** Keep-alive from the owner or entry node while there is nothing to report. */
    record Progress() implements CallerReply {}
}
