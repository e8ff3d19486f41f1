package org.parsleydrift.program;

/** The reason why a program ended. */
public enum ProgramEnd {
    /** The root agent ended. */
    COMPLETE,
    /** The caller cancelled the program. */
    CANCELLED,
    /** The program used up its budget. */
    BUDGET_SPENT,
    /** The program exceeded its maximum elapsed time. */
    EXPIRED,
    /** The program made the same call too many times in a row. */
    LOOP,
    /** An engine's response could not be parsed, or the manifest does not declare the agent. */
    FAILED
}
