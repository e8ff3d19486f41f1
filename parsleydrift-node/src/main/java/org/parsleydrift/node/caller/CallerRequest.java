package org.parsleydrift.node.caller;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.parsleydrift.program.ProgramId;

/** Request of a caller, forwarded from the node that accepted the connection to the program's owner. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "q")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CallerRequest.Start.class, name = "start"),
    @JsonSubTypes.Type(value = CallerRequest.Send.class, name = "send"),
    @JsonSubTypes.Type(value = CallerRequest.Attach.class, name = "attach"),
    @JsonSubTypes.Type(value = CallerRequest.Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = CallerRequest.CallService.class, name = "call"),
    @JsonSubTypes.Type(value = CallerRequest.Explain.class, name = "explain")
})
public sealed interface CallerRequest {
    /**
     * Returns the id of the program or service call that the request is about.
     *
     * @return the id, which determines the owner
     */
    ProgramId id();

    /**
     * Starts a program. A repeated request is answered with the program that already exists.
     *
     * @param id id of the new program
     * @param agent name of the agent in the manifest
     * @param prompt initial input
     * @param first true if no attempt of this request can have reached an owner before
     */
    record Start(ProgramId id, String agent, String prompt, boolean first) implements CallerRequest {}

    /**
     * Sends a message to a running program. Messages with the same key are delivered once.
     *
     * @param id the program
     * @param key idempotency key of the message
     * @param text the message
     */
    record Send(ProgramId id, String key, String text) implements CallerRequest {}

    /**
     * Streams the answer from an offset.
     *
     * @param id the program
     * @param offset number of characters that the caller already has
     */
    record Attach(ProgramId id, long offset) implements CallerRequest {}

    /**
     * Cancels a program. Has no effect on a program that has ended.
     *
     * @param id the program
     */
    record Cancel(ProgramId id) implements CallerRequest {}

    /**
     * Calls a service whose calls are not idempotent. A repeated request gets the answer of the first call.
     *
     * @param id id of the call
     * @param service name of the service in the manifest
     * @param body the request body
     * @param first true if no attempt of this request can have reached an owner before
     */
    record CallService(ProgramId id, String service, String body, boolean first) implements CallerRequest {}

    /**
     * Asks for the diagnostic state of a program.
     *
     * @param id the program
     */
    record Explain(ProgramId id) implements CallerRequest {}
}
