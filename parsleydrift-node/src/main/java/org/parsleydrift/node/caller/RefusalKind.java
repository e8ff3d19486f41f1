package org.parsleydrift.node.caller;

/** Why a request was not served. */
public enum RefusalKind {
    /** Nothing was made durable and nothing outside was asked: it did not run, and will not. */
    NOT_RUN,
    /** It may have been accepted; the same request with the same key is safe to make again. */
    OUTCOME_UNKNOWN,
    /** The ticket or the answer is too old. */
    EXPIRED,
    /** The request makes no sense; making it again does not help. */
    BAD_REQUEST,
    /** There is no such program. */
    UNKNOWN_PROGRAM
}
