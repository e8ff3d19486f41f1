package org.parsleydrift.program;

/** A next step of a program. Steps are derived from the program's state, so a recovery yields the same steps. */
public sealed interface ProgramStep {
    /**
     * Returns the key by which a step in progress is recognised and not started twice.
     *
     * @return the key, unique within the program
     */
    String key();

    /**
     * Runs a model turn.
     *
     * @param path the agent's path
     * @param turn the number of the turn, from 0
     */
    record RunTurn(String path, int turn) implements ProgramStep {
        @Override
        public String key() {
            return "turn/" + path + "/" + turn;
        }
    }

    /**
     * Makes a tool call.
     *
     * @param callId the id of the call
     * @param tool the tool's name in the manifest
     * @param arguments the arguments as JSON text
     * @param intended true if the intent to send the call was appended to the journal; it need not be durable yet
     */
    record MakeCall(String callId, String tool, String arguments, boolean intended) implements ProgramStep {
        @Override
        public String key() {
            return "call/" + callId;
        }
    }

    /**
     * Stops the program because a limit of its budget is reached.
     *
     * @param end the reason
     * @param detail the explanation shown to the caller
     */
    record Stop(ProgramEnd end, String detail) implements ProgramStep {
        @Override
        public String key() {
            return "stop";
        }
    }
}
