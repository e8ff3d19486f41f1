package org.parsleydrift.program;

/** What a program needs next; computed from its state alone, so it is the same after a recovery. */
public sealed interface ProgramStep {
    /**
     * Names the step, so that a step under way is not begun twice.
     *
     * @return unique in the program
     */
    String key();

    /**
     * Run a model turn.
     *
     * @param path the agent
     * @param turn the number of the turn
     */
    record RunTurn(String path, int turn) implements ProgramStep {
        @Override
        public String key() {
            return "turn/" + path + "/" + turn;
        }
    }

    /**
     * Make a tool call.
     *
     * @param callId the call
     * @param tool the tool
     * @param arguments its arguments
     * @param intended true if an intent is durable or on its way there
     */
    record MakeCall(String callId, String tool, String arguments, boolean intended) implements ProgramStep {
        @Override
        public String key() {
            return "call/" + callId;
        }
    }

    /**
     * Stop the program: its budget or a limit says so.
     *
     * @param end why
     * @param detail the reason
     */
    record Stop(ProgramEnd end, String detail) implements ProgramStep {
        @Override
        public String key() {
            return "stop";
        }
    }
}
