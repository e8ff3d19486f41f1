package org.parsleydrift.placement;

/** What suggests that a runner has ended under a request, from the weakest evidence to the strongest. */
public enum LossEvidence {
    /** The request was cancelled while the runner was silent. Any answer of the runner shows that it has not ended. */
    SILENCE,
    /** The connection of the request was lost. The runner may also have broken off its response only. */
    CONNECTION_LOST,
    /** Its address did not accept a connection, or another process answered there. */
    UNREACHABLE
}
