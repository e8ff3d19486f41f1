package org.parsleydrift.daemon;

import java.util.logging.LogManager;

/** A log manager whose handlers stay open in shutdown hooks, so that the logs of processes show their drains. */
public final class LastingLogManager extends LogManager {
    /** Keeps the handlers, which the platform would close at the begin of a shutdown. */
    @Override
    public void reset() {}
}
