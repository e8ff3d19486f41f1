package org.parsleydrift.bench.streams;

/** What happens while callers compare each response with what its runner sent. */
public enum ResponseTrouble {
    /** The entry processes are sent SIGTERM one after the other. */
    ROLLING,
    /** Series of SIGTERM, SIGHUP, SIGSTOP and SIGCONT to entry processes, some of which start or drain, and to stores. */
    SIGNALS,
    /** Runners answer twice, without a length, early, in part or at length. */
    RUNNERS,
    /** Callers send HEAD requests, several requests at once and read slowly. */
    CALLERS,
    /** A route is dropped and added and the limits change. */
    MANIFEST
}
