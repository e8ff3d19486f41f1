package org.parsleydrift.relay;

/** Pool that a runner's connection returns to after a response. */
interface IdleConnections {
    /** Returns a reusable connection to the pool. */
    void idle(RunnerConnection connection);

    /** Removes a closed connection from the pool, if it is there. */
    void closed(RunnerConnection connection);
}
