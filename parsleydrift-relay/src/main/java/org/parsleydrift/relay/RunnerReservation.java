package org.parsleydrift.relay;

/** Whether work that was left unfinished elsewhere may be sent to one more runner. */
enum RunnerReservation {
    /** It may be sent to the runner. */
    GRANTED,
    /** As many runners count for it as may; it may only be sent to those. */
    AT_LIMIT,
    /** Attempts under way elsewhere would exceed the limit together with this one. */
    UNDER_WAY,
    /** The store VMs did not answer, so the limit may be exceeded by attempts at other nodes. */
    UNKNOWN
}
