package org.parsleydrift.program;

/** The outcome of a tool call. */
public enum CallOutcome {
    /** The call ran and returned a result. */
    OK,
    /** The call ran and returned an error, or it cannot be sent. */
    FAILED,
    /** The call was not sent, or the tool reported that it did not run. */
    NOT_RUN,
    /** The call was sent at most once; whether it ran is unknown. */
    OUTCOME_UNKNOWN,
    /** The call was not sent because an earlier identical call ended with an unknown outcome. */
    BLOCKED
}
