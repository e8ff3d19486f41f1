package org.parsleydrift.placement.admission;

import java.util.OptionalLong;

/**
 * A request that needs a slot, as its admission is decided.
 *
 * @param service service whose runners can process the request
 * @param programKey {@link ReturnSchedule#programKey} of the request's program
 * @param rank priority of the team, else of the route; 0 is the highest
 * @param started whether the request's program has already used runner time
 * @param returned whether the request begins a program that returns within its slot ({@link ReturnSchedule#isDue})
 * @param teamBelowShare whether the team got less than its even share of the recent assignments
 * @param streaming whether the caller gives up early if it receives no event
 * @param ahead number of requests of the service in this node's queue that precede the request
 * @param programDeadlineNanos time at which the program should be finished, ns; empty if unknown
 * @param deadlineNanos time at which the caller gives up the request itself, ns
 * @param runNanos learned time that the request occupies a runner, ns; 0 if unknown
 * @param neededNanos learned time from the start of the request to the end of its program, ns; 0 if unknown
 */
public record AdmissionRequest(
        String service,
        long programKey,
        int rank,
        boolean started,
        boolean returned,
        boolean teamBelowShare,
        boolean streaming,
        int ahead,
        OptionalLong programDeadlineNanos,
        long deadlineNanos,
        long runNanos,
        long neededNanos) {}
