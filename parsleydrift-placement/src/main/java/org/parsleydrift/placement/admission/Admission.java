package org.parsleydrift.placement.admission;

import java.time.Duration;

/** Decision on the admission of a request to the queue of its service. */
public sealed interface Admission {
    /**
     * The request is queued.
     *
     * @param maxWait time after which the request is rejected if it is not assigned by then
     * @param predictedWait predicted time until the request is assigned; zero if nothing is known
     */
    record Enqueue(Duration maxWait, Duration predictedWait) implements Admission {}

    /**
     * The request is rejected at once.
     *
     * @param retryAfter time until its slot in the return schedule
     * @param reason reason for the rejection
     * @param predictedWait predicted time until the request would have been assigned
     * @param slack longest wait with which the request was worth serving
     */
    record Refuse(Duration retryAfter, Reason reason, Duration predictedWait, Duration slack) implements Admission {}

    /** Reasons for a rejection; their names in lower case are the values of the metric. */
    enum Reason {
        /** A new program of the best rank cannot start early enough to end in time. */
        LATE_START,
        /** A request cannot start before its caller gives up. */
        BEYOND_DEADLINE,
        /** A request has waited for its maximum time. */
        WAITED
    }
}
