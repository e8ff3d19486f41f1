package org.parsleydrift.relay;

/** Where runners' connections go between requests. */
interface IdleConnections {
    /** A connection may be used again. */
    void idle(RunnerConnection connection);

    /** A connection was closed. */
    void closed(RunnerConnection connection);
}
