package org.parsleydrift.relay;

/** States of a {@link RequestLifecycle}. */
enum RequestStage {
    /** Waiting until the node knows what it has to know for placing requests. */
    AWAITING_PREPARATION,
    /** Being matched to a route. */
    MATCHING,
    /** Beginning a turn at the store VMs, which reserve its tokens and return its history. */
    BEGINNING,
    /** Waiting for the decision on its team's quota. */
    ACQUIRING_QUOTA,
    /** Queued for a runner. */
    QUEUED,
    /** Assigned to a runner. */
    ASSIGNED,
    /** The response is complete and the turn is being committed. */
    COMMITTING,
    /** The final response was sent, or the caller has disconnected. */
    ENDED
}
