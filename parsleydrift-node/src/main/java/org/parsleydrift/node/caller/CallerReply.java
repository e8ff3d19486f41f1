package org.parsleydrift.node.caller;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.SequencedMap;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.program.CallOutcome;
import org.parsleydrift.program.ProgramEnd;
import org.parsleydrift.program.ProgramId;

/** What comes back for a {@link CallerRequest}: any number of outputs, then one final reply. */
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
     * Whether nothing follows.
     *
     * @return true for the last reply to a request
     */
    default boolean last() {
        return !(this instanceof Output || this instanceof Rewind || this instanceof Progress);
    }

    /**
     * It is durable.
     *
     * @param id the program
     * @param generation the manifest it runs under
     */
    record Accepted(ProgramId id, long generation) implements CallerReply {}

    /**
     * A piece of the answer.
     *
     * @param offset characters before it
     * @param text the piece
     */
    record Output(long offset, String text) implements CallerReply {}

    /**
     * What was sent past an offset does not hold: a turn was lost and runs again.
     *
     * @param offset characters that hold
     */
    record Rewind(long offset) implements CallerReply {}

    /**
     * The answer is whole.
     *
     * @param end why the program is over
     * @param detail the reason
     * @param length characters of the whole answer
     */
    record Ended(ProgramEnd end, String detail, long length) implements CallerReply {}

    /**
     * The answer of a plain call.
     *
     * @param outcome how it ended
     * @param body the upstream's answer, or what went wrong
     */
    record Answer(CallOutcome outcome, String body) implements CallerReply {}

    /**
     * Where a program is and why.
     *
     * @param facts names and values
     */
    record Explained(SequencedMap<String, String> facts) implements CallerReply {}

    /**
     * A refusal or an error.
     *
     * @param kind what the caller may conclude
     * @param step where it arose
     * @param peer the other side
     * @param message what happened
     * @param retryAfterMillis when to come back; 0 for never
     */
    record Refused(RefusalKind kind, Step step, String peer, String message, long retryAfterMillis)
            implements CallerReply {}

    /** Another node owns it now, or this one does not own it yet: ask again. Never reaches a caller. */
    record Moved() implements CallerReply {}

    /** The owner is alive and has nothing new. Never reaches a caller. */
    record Progress() implements CallerReply {}
}
