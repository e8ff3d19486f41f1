package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What a model turn asks for. Actions of one turn are carried out in their order. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "a")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Action.CallTool.class, name = "t"),
    @JsonSubTypes.Type(value = Action.Spawn.class, name = "s"),
    @JsonSubTypes.Type(value = Action.AwaitMessage.class, name = "w"),
    @JsonSubTypes.Type(value = Action.End.class, name = "e")
})
public sealed interface Action {
    /**
     * Call a tool.
     *
     * @param tool the tool's name in the manifest
     * @param arguments a JSON text
     */
    record CallTool(String tool, String arguments) implements Action {}

    /**
     * Start a sub-agent. Neighbouring spawns run side by side; the next action waits for all of them.
     *
     * @param agent its kind, a name in the manifest
     * @param prompt its first input
     */
    record Spawn(String agent, String prompt) implements Action {}

    /** Wait for the next message to the program. */
    record AwaitMessage() implements Action {}

    /** End the agent; for the root agent, the program. */
    record End() implements Action {}

    /**
     * Reads a line of an engine's reply.
     *
     * @param line {@code tool NAME ARGUMENTS}, {@code spawn AGENT PROMPT}, {@code wait} or {@code end}
     * @return the action
     * @throws IllegalArgumentException if the line is none of these
     */
    static Action parse(String line) {
        String[] words = line.split(" ", 3);
        String rest = words.length > 2 ? words[2] : "";
        return switch (words[0]) {
            case "tool" -> new CallTool(operand(words, line), rest.isEmpty() ? "{}" : rest);
            case "spawn" -> new Spawn(operand(words, line), rest);
            case "wait" -> new AwaitMessage();
            case "end" -> new End();
            default -> throw new IllegalArgumentException("unknown action: " + line);
        };
    }

    private static String operand(String[] words, String line) {
        if (words.length < 2) {
            throw new IllegalArgumentException("action lacks a name: " + line);
        }
        return words[1];
    }
}
