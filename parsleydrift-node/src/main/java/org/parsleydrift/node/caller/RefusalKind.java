package org.parsleydrift.node.caller;

/** Reason why a request was refused. */
public enum RefusalKind {
    /** Nothing was written and no upstream was called: the request did not run and will not run. */
    NOT_RUN,
    /** The request may have been accepted; it is safe to retry with the same key. */
    OUTCOME_UNKNOWN,
    /** The ticket has expired. */
    EXPIRED,
    /** The request is invalid; a retry fails in the same way. */
    BAD_REQUEST,
    /** The owner has no program with this id. */
    UNKNOWN_PROGRAM
}
