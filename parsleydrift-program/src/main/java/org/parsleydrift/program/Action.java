package org.parsleydrift.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An action requested by a model turn. The actions of one turn run in the order in which the model lists them. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "a")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Action.CallTool.class, name = "t"),
    @JsonSubTypes.Type(value = Action.Spawn.class, name = "s"),
    @JsonSubTypes.Type(value = Action.AwaitMessage.class, name = "w"),
    @JsonSubTypes.Type(value = Action.End.class, name = "e")
})
public sealed interface Action {
    /**
     * Calls a tool.
     *
     * @param tool the tool's name in the manifest
     * @param arguments the arguments as JSON text
     */
    record CallTool(String tool, String arguments) implements Action {}

    /**
     * Starts a sub-agent. Consecutive spawns run in parallel; the action after them waits until all of them have ended.
     *
     * @param agent the agent's name in the manifest
     * @param prompt the initial input of the sub-agent
     */
    record Spawn(String agent, String prompt) implements Action {}

    /** Waits for the next message to the program. */
    record AwaitMessage() implements Action {}

    /** Ends the agent. The program ends with its root agent. */
    record End() implements Action {}

    /**
     * Parses one action line of an engine's response.
     *
     * @param line {@code tool NAME ARGUMENTS}, {@code spawn AGENT PROMPT}, {@code wait} or {@code end}
     * @return the parsed action; missing tool arguments are read as an empty JSON object, a missing prompt as an empty
     *     text
     * @throws IllegalArgumentException if the line has another form
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
