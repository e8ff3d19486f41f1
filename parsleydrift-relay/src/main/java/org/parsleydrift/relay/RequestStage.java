package org.parsleydrift.relay;

/** Where a request is. */
enum RequestStage {
    /** Waits for the first manifest. */
    STARTING,
    /** Its route is being looked for. */
    MATCHED,
    /** A turn that is being begun at the store VMs. */
    BEGINNING,
    /** Waits for a runner. */
    WAITING,
    /** A runner has it. */
    OFFERED,
    /** Its answer is whole and the turn is being made durable. */
    COMMITTING,
    /** The caller has its final answer, or has left. */
    ENDED
}
