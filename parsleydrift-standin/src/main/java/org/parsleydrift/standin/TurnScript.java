package org.parsleydrift.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The script in a prompt that tells the stand-in engine what to do, turn by turn. Turns are separated by {@code /},
 * parts of a turn by {@code ,}; the first part is {@code say N}; a sub-agent's own script stands inside its prompt:
 * {@code <say 20 / say 5, tool registry.assign {"hull":7} / say 5, spawn provenance <say 9, end> / say 4, end>}.
 */
public final class TurnScript {
    private static final ScriptTurn END = new ScriptTurn(1, List.of("end"));

    private TurnScript() {}

    /**
     * Finds what a turn does.
     *
     * @param input the agent's first input
     * @param turn the number of the turn, from 0
     * @return the turn; past the end of the script one that ends the agent
     */
    public static ScriptTurn turn(String input, int turn) {
        int open = input.indexOf('<');
        int close = input.lastIndexOf('>');
        if (open < 0 || close < open) {
            return END;
        }
        List<String> turns = split(input.substring(open + 1, close), '/');
        return turn < turns.size() ? parse(turns.get(turn)) : END;
    }

    private static ScriptTurn parse(String text) {
        List<String> parts = split(text, ',');
        String[] say = parts.getFirst().trim().split(" ", 2);
        return new ScriptTurn(
                Integer.parseInt(say[1].trim()),
                parts.stream().skip(1).map(String::trim).toList());
    }

    /** Splits at a character outside of nested scripts and of JSON arguments. */
    private static List<String> split(String text, char separator) {
        List<String> parts = new ArrayList<>();
        int depth = 0;
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '<' || c == '{') {
                depth++;
            } else if (c == '>' || c == '}') {
                depth--;
            } else if (c == separator && depth == 0) {
                parts.add(text.substring(start, i));
                start = i + 1;
            }
        }
        parts.add(text.substring(start));
        return parts;
    }
}
