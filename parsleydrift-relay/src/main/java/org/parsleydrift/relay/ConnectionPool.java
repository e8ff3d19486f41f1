package org.parsleydrift.relay;

/** Pool that a runner's connection returns to after a response. */
interface ConnectionPool {
    /** Returns a reusable connection to the pool. */
    void release(RunnerConnection connection);

    /** Removes a closed connection from the pool, if it is there. */
    void remove(RunnerConnection connection);

    /** Counts bytes that are not the whole response to the request of a connection. */
    void recordIrregular(IrregularResponse kind);
}
