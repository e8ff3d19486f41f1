package org.parsleydrift.relay;

import org.parsleydrift.registry.CallerLimits;

/** Callbacks from a caller's connection to the server that accepted it. */
interface ConnectionOwner {
    /** Returns the limits currently in force. */
    CallerLimits limits();

    /** Returns whether each response must carry {@code Connection: close}. */
    boolean isDraining();

    /** Returns the responses that are owed to callers. */
    OwedResponses responses();

    void connectionOpened(CallerConnection connection);

    void connectionClosed(CallerConnection connection);
}
