package org.parsleydrift.bench.decisions;

/**
 * Result of a run with programs of two ranks.
 *
 * @param worth worth of all programs relative to the worth of all in time
 * @param urgentInTime share of the programs of rank 0 in time
 * @param lowerInTime share of the programs of rank 1 in time
 * @param urgentServed share of the programs of rank 0 that were completed within twice their time
 * @param lowerServed share of the programs of rank 1 that were completed within twice their time
 * @param engineFull share of the requests sent to engines that they rejected as full
 * @param urgentWaitMillis 90th percentile of the wait of a turn of rank 0 for its placement, ms
 * @param lowerWaitMillis 90th percentile of the wait of a turn of rank 1 for its placement, ms
 * @param coordinatorMessages reports and grants per second of arrivals
 */
record ContentionResult(
        double worth,
        double urgentInTime,
        double lowerInTime,
        double urgentServed,
        double lowerServed,
        double engineFull,
        double urgentWaitMillis,
        double lowerWaitMillis,
        double coordinatorMessages) {}
