package org.parsleydrift.bench.streams;

import java.util.logging.LogManager;

/** A log manager whose handlers stay open in shutdown hooks, so that the logs of processes show their drains. */
public final class LastingLogManager extends LogManager {
    /** Creates the log manager of a process. */
    public LastingLogManager() {}

    /** Keeps the handlers, which the platform would close at the begin of a shutdown. */
    @Override
    public void reset() {}
}
