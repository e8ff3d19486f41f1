package org.parsleydrift.bench.drain;

/** How an attempt of a caller ends. */
enum Outcome {
    /** The runner's whole response. */
    SUCCESS,
    /** 503, not run, as the node ends. */
    REJECTED_BY_DRAIN,
    /** 503, not run, as no runner was free. */
    REJECTED_FULL,
    /** The connection was not accepted. */
    CONNECTION_REFUSED,
    /** 502: may have run, as the node ends. */
    UNKNOWN_AT_END,
    /** 504: the budget has passed. */
    TIMED_OUT,
    /** The stream ended before its last event. */
    INTERRUPTED,
    /** The connection was closed without a response. */
    CUT;

    boolean isNotRun() {
        return this == REJECTED_BY_DRAIN || this == REJECTED_FULL || this == CONNECTION_REFUSED;
    }
}
