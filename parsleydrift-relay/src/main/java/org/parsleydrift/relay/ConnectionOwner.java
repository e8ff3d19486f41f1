package org.parsleydrift.relay;

import org.parsleydrift.registry.CallerLimits;

/** What a caller's connection needs of the server that accepted it. */
interface ConnectionOwner {
    /** Limits in force. */
    CallerLimits limits();

    /** Whether each answer announces that its connection closes. */
    boolean draining();

    /** A connection was opened. */
    void opened(CallerConnection connection);

    /** A connection was closed. */
    void closed(CallerConnection connection);
}
