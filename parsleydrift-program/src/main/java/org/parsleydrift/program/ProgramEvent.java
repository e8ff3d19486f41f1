package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.parsleydrift.manifest.Budget;

/** An event of a program, stored as a journal record. Replaying the events in order restores the program's state. */
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
     * @param id the program's id
     * @param agent the manifest name of the root agent
     * @param prompt the initial input of the root agent
     * @param budget the budget declared in the manifest at that time
     * @param generation the manifest generation in force at that time
     * @param atMillis the time of acceptance in milliseconds since the epoch
     */
    record Started(ProgramId id, String agent, String prompt, Budget budget, long generation, long atMillis)
            implements ProgramEvent {}

    /**
     * A call of a plain service with at-most-once semantics was accepted.
     *
     * @param id the call's id
     * @param service the service's name in the manifest
     * @param body the request body
     * @param generation the manifest generation in force at that time
     * @param atMillis the time of acceptance in milliseconds since the epoch
     */
    record CallStarted(ProgramId id, String service, String body, long generation, long atMillis)
            implements ProgramEvent {}

    /**
     * A model turn ended.
     *
     * @param path the agent's path
     * @param turn the number of the turn, from 0
     * @param text the generated text
     * @param actions the requested actions, in order
     * @param tokens the number of generated tokens
     */
    record TurnEnded(String path, int turn, String text, List<Action> actions, int tokens) implements ProgramEvent {}

    /**
     * The result of a started turn was lost. The turn is charged with its maximum possible usage.
     *
     * @param path the agent's path
     * @param turn the number of the turn, from 0
     * @param tokens the maximum number of tokens that the turn can have generated
     */
    record TurnLost(String path, int turn, int tokens) implements ProgramEvent {}

    /**
     * A non-idempotent call is about to be sent. The call is sent only after this event is durable.
     *
     * @param callId the id of the call
     */
    record CallIntended(String callId) implements ProgramEvent {}

    /**
     * A call ended.
     *
     * @param callId the id of the call
     * @param outcome the outcome
     * @param answer the response body, or the error message
     */
    record CallEnded(String callId, CallOutcome outcome, String answer) implements ProgramEvent {}

    /**
     * A message to the program was accepted.
     *
     * @param key the caller's idempotency key; an event with a known key is a duplicate
     * @param text the content of the message
     */
    record MessageArrived(String key, String text) implements ProgramEvent {}

    /**
     * The system or the caller ended the program.
     *
     * @param end the reason
     * @param detail the explanation shown to the caller
     */
    record Stopped(ProgramEnd end, String detail) implements ProgramEvent {}

    /**
     * A snapshot of the whole state, written by a checkpoint or by the node that took over the program.
     *
     * @param state the program's state
     */
    record Restored(ProgramState state) implements ProgramEvent {}
}
