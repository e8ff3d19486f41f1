package org.parsleydrift.relay;

/** What a health check says about the process of a runner. */
sealed interface ProbeResult {
    /**
     * The runner has answered.
     *
     * @param connectedNanos time at which the connection was established, ns
     */
    record Answered(long connectedNanos) implements ProbeResult {}

    /** No connection could be established. */
    record Unreachable() implements ProbeResult {}

    /** Another process answers at the runner's address. */
    record Replaced() implements ProbeResult {}

    /** A connection was established, but no response came. */
    record Unanswered() implements ProbeResult {}
}
