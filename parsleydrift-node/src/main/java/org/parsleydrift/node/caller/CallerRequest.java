package org.parsleydrift.node.caller;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.parsleydrift.program.ProgramId;

/** What a caller asks, as it travels from the node that took the connection to the program's owner. */
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
     * The program or plain call concerned.
     *
     * @return its id
     */
    ProgramId id();

    /**
     * Start a program. A repeat finds the program that the first one started.
     *
     * @param id its id
     * @param agent its kind
     * @param prompt its first input
     * @param first whether it was never handed to an owner before, by this caller or by any node
     */
    record Start(ProgramId id, String agent, String prompt, boolean first) implements CallerRequest {}

    /**
     * Send a message to a program under way. A repeat with the same key is the same message.
     *
     * @param id the program
     * @param key the caller's key of the message
     * @param text the message
     */
    record Send(ProgramId id, String key, String text) implements CallerRequest {}

    /**
     * Read the answer from an offset, as it comes.
     *
     * @param id the program
     * @param offset characters already read
     */
    record Attach(ProgramId id, long offset) implements CallerRequest {}

    /**
     * Cancel a program.
     *
     * @param id the program
     */
    record Cancel(ProgramId id) implements CallerRequest {}

    /**
     * Call a plain service whose calls may not be repeated. A repeat gets the first one's answer.
     *
     * @param id the call
     * @param service the service
     * @param body what to send
     * @param first whether it was never handed to an owner before, by this caller or by any node
     */
    record CallService(ProgramId id, String service, String body, boolean first) implements CallerRequest {}

    /**
     * Tell where a program is and why.
     *
     * @param id the program
     */
    record Explain(ProgramId id) implements CallerRequest {}
}
