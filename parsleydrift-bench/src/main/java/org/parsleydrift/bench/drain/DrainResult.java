package org.parsleydrift.bench.drain;

/**
 * Figures of a run. All but the first and the last three are numbers per 10,000 requests; those of attempts count each attempt
 * of a request.
 *
 * @param requests number of requests
 * @param inTime requests served within their target latency, or soon after their work where that is longer
 * @param late requests served later
 * @param failed requests not served
 * @param failedUnknown those of them that may have run at the last attempt
 * @param cut attempts whose connection was closed without a response
 * @param unknown attempts answered as unknown because the node ends
 * @param timedOut attempts answered as unknown after the whole budget
 * @param interrupted streams that were interrupted because the node ends
 * @param rejected attempts rejected as not run because the node ends
 * @param rejectedInTime requests rejected so and served in time
 * @param rejectedLate requests rejected so and served late
 * @param rejectedFailed requests rejected so and not served
 * @param full attempts rejected as no runner was free
 * @param refused connections that were refused
 * @param drainMillis mean time from SIGTERM until the exit, ms
 * @param longestDrainMillis longest such time, ms
 * @param wastedMillis work of runners without a delivered response, ms per request
 */
record DrainResult(
        int requests,
        double inTime,
        double late,
        double failed,
        double failedUnknown,
        double cut,
        double unknown,
        double timedOut,
        double interrupted,
        double rejected,
        double rejectedInTime,
        double rejectedLate,
        double rejectedFailed,
        double full,
        double refused,
        double drainMillis,
        double longestDrainMillis,
        double wastedMillis) {}
