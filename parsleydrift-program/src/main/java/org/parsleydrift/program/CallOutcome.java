package org.parsleydrift.program;

/** How a tool call ended. */
public enum CallOutcome {
    /** It ran and answered. */
    OK,
    /** It ran and answered with an error, or it can't be made. */
    FAILED,
    /** It was not sent, or the tool says that it did not run. */
    NOT_RUN,
    /** It was sent at most once, and whether it ran is not known. */
    OUTCOME_UNKNOWN,
    /** The same call ended with an unknown outcome before: it is not sent again. */
    BLOCKED
}
