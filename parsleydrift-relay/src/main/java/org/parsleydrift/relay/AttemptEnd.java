package org.parsleydrift.relay;

/** How an attempt at a runner has ended. */
enum AttemptEnd {
    /** The runner certainly did not start the request. */
    NOT_RUN,
    /** The runner may have started the request, but no complete response arrived. */
    INCOMPLETE,
    /** A complete response arrived. */
    COMPLETE
}
