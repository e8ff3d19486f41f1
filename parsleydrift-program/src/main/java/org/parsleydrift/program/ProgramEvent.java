package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.parsleydrift.manifest.Budget;

/** What happened to a program; its journal records. Applying them in order gives its state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "e")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ProgramEvent.Started.class, name = "start"),
    @JsonSubTypes.Type(value = ProgramEvent.CallStarted.class, name = "plain"),
    @JsonSubTypes.Type(value = ProgramEvent.TurnEnded.class, name = "turn"),
    @JsonSubTypes.Type(value = ProgramEvent.TurnLost.class, name = "lost"),
    @JsonSubTypes.Type(value = ProgramEvent.CallIntended.class, name = "intent"),
    @JsonSubTypes.Type(value = ProgramEvent.CallEnded.class, name = "call"),
    @JsonSubTypes.Type(value = ProgramEvent.MessageArrived.class, name = "message"),
    @JsonSubTypes.Type(value = ProgramEvent.Stopped.class, name = "stop"),
    @JsonSubTypes.Type(value = ProgramEvent.Restored.class, name = "state")
})
public sealed interface ProgramEvent {
    /**
     * The program was accepted.
     *
     * @param id its id
     * @param agent the kind of its root agent
     * @param prompt its first input
     * @param budget its budget, as declared then
     * @param generation the manifest in force then
     * @param atMillis when, in milliseconds since the epoch
     */
    record Started(ProgramId id, String agent, String prompt, Budget budget, long generation, long atMillis)
            implements ProgramEvent {}

    /**
     * A plain call that must run at most once was accepted.
     *
     * @param id its id
     * @param service the service
     * @param body what to send
     * @param generation the manifest in force then
     * @param atMillis when, in milliseconds since the epoch
     */
    record CallStarted(ProgramId id, String service, String body, long generation, long atMillis)
            implements ProgramEvent {}

    /**
     * A model turn ended.
     *
     * @param path the agent
     * @param turn the number of the turn, from 0
     * @param text the generated text
     * @param actions what it asks for
     * @param tokens tokens generated
     */
    record TurnEnded(String path, int turn, String text, List<Action> actions, int tokens) implements ProgramEvent {}

    /**
     * A turn was begun and its result is lost; what it may have cost is charged.
     *
     * @param path the agent
     * @param turn the number of the turn
     * @param tokens the most tokens that it can have generated
     */
    record TurnLost(String path, int turn, int tokens) implements ProgramEvent {}

    /**
     * A non-idempotent call is about to be sent. It is sent only once this is durable.
     *
     * @param callId the call
     */
    record CallIntended(String callId) implements ProgramEvent {}

    /**
     * A call ended.
     *
     * @param callId the call
     * @param outcome how
     * @param answer the answer, or what went wrong
     */
    record CallEnded(String callId, CallOutcome outcome, String answer) implements ProgramEvent {}

    /**
     * A message to the program was accepted.
     *
     * @param key the caller's key of the message; a repeat is the same message
     * @param text the message
     */
    record MessageArrived(String key, String text) implements ProgramEvent {}

    /**
     * The system or the caller ended the program.
     *
     * @param end why
     * @param detail the reason, for the caller
     */
    record Stopped(ProgramEnd end, String detail) implements ProgramEvent {}

    /**
     * The whole state, written by a successor or by a checkpoint.
     *
     * @param state the state
     */
    record Restored(ProgramState state) implements ProgramEvent {}
}
