package org.parsleydrift.placement.queue;

import java.util.OptionalLong;

/**
 * Learned durations of turns and programs by route. Soft state: a node that has just started knows none and returns 0.
 * Not thread-safe; confined to one event loop.
 */
public final class ProgramDurations {
    /**
     * Records the arrival of a turn, from which the number of turns per program and the interval between turns are
     * learned. Rejected and repeated attempts are not recorded.
     *
     * @param route name of the route
     * @param started whether the program is in progress
     * @param programLeftNanos time left until the program should be finished, ns; empty if unknown
     */
    public void recordArrival(String route, boolean started, OptionalLong programLeftNanos) {}

    /**
     * Records a complete request.
     *
     * @param route name of the route
     * @param runNanos time from the assignment to a runner to the end of the response, ns
     */
    public void recordRun(String route, long runNanos) {}

    /**
     * Returns the mean time that a request of a route occupies a runner.
     *
     * @param route name of the route
     * @return the time, ns; 0 if unknown
     */
    public long runNanos(String route) {
        return 0;
    }

    /**
     * Returns the mean time from the start of a request to the end of its program.
     *
     * @param route name of the route
     * @param started whether the program is in progress
     * @return the time, ns; 0 if unknown
     */
    public long neededNanos(String route, boolean started) {
        return 0;
    }
}
