package org.parsleydrift.tools;

import java.util.List;

/** Verifies the tokens of a stand-in engine's answer, which have the form {@code program:agent:turn:position}. */
public final class AnswerCheck {
    private static final int FIELDS = 4;

    private AnswerCheck() {}

    /**
     * Finds the first error in an answer.
     *
     * @param key the program's key
     * @param answer the answer
     * @return a description of the error, or an empty string if there is none
     */
    public static String fault(String key, ProgramAnswer answer) {
        if (!answer.whole()) {
            return "answer truncated: got " + answer.text().length() + " of " + answer.length() + " characters";
        }
        if (answer.text().isEmpty()) {
            return "answer is empty";
        }
        int turn = 0;
        int position = 0;
        for (String token : List.of(answer.text().split(" ", -1))) {
            if (token.isEmpty()) {
                continue;
            }
            String[] fields = token.split(":", FIELDS);
            if (fields.length != FIELDS || !fields[0].equals(key) || !"0".equals(fields[1])) {
                return "token " + token + " does not belong to program " + key;
            }
            int tokenTurn = Integer.parseInt(fields[2]);
            if (tokenTurn == turn + 1) {
                turn++;
                position = 0;
            }
            if (tokenTurn != turn || Integer.parseInt(fields[3]) != position) {
                return "token " + token + " found, expected turn " + turn + " position " + position;
            }
            position++;
        }
        return "";
    }
}
