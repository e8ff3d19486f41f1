package org.parsleydrift.program;

/** Why a program is over. */
public enum ProgramEnd {
    /** Its root agent ended. */
    COMPLETE,
    /** Its caller cancelled it. */
    CANCELLED,
    /** It used up its budget. */
    BUDGET_SPENT,
    /** It ran past its elapsed time. */
    EXPIRED,
    /** It repeated one call without end. */
    LOOP,
    /** An engine's reply made no sense, or its agent is not declared. */
    FAILED
}
