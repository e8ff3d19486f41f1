package org.parsleydrift.tools;

import java.util.List;

/** Checks the answer of a stand-in engine token by token: each names its program, agent, turn and position. */
public final class AnswerCheck {
    private static final int FIELDS = 4;

    private AnswerCheck() {}

    /**
     * Finds the first fault of an answer.
     *
     * @param key the program's key
     * @param answer the answer
     * @return what is wrong, or an empty text
     */
    public static String fault(String key, ProgramAnswer answer) {
        if (!answer.whole()) {
            return "length " + answer.text().length() + " of " + answer.length();
        }
        if (answer.text().isEmpty()) {
            return "nothing was said";
        }
        int turn = 0;
        int position = 0;
        for (String token : List.of(answer.text().split(" ", -1))) {
            if (token.isEmpty()) {
                continue;
            }
            String[] fields = token.split(":", FIELDS);
            if (fields.length != FIELDS || !fields[0].equals(key) || !"0".equals(fields[1])) {
                return "token " + token + " is not of program " + key;
            }
            int tokenTurn = Integer.parseInt(fields[2]);
            if (tokenTurn == turn + 1) {
                turn++;
                position = 0;
            }
            if (tokenTurn != turn || Integer.parseInt(fields[3]) != position) {
                return "token " + token + " where turn " + turn + " position " + position + " was due";
            }
            position++;
        }
        return "";
    }
}
