package org.parsleydrift.relay;

import java.util.Locale;

/** How far a request has come whose response is owed to its caller. */
public enum ResponseStage {
    /** Not placed at a runner yet, or no longer. */
    BEFORE_RUNNER,
    /** At a runner. */
    AT_RUNNER,
    /** All events of its stream were forwarded; its turn is being committed. */
    COMMITTING,
    /** The last byte of the response is written and not yet taken by the network. */
    SENDING;

    static ResponseStage of(RequestStage stage) {
        return switch (stage) {
            case AWAITING_PREPARATION, MATCHING, BEGINNING, ACQUIRING_QUOTA, QUEUED -> BEFORE_RUNNER;
            case ASSIGNED -> AT_RUNNER;
            case COMMITTING -> COMMITTING;
            case ENDED -> SENDING;
        };
    }

    /**
     * Returns the name for logs and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
