package org.parsleydrift.placement.queue;

import java.util.OptionalLong;

/**
 * What the position of a waiting request in the queue depends on.
 *
 * @param service service whose runners can process the request
 * @param team name of the caller's team
 * @param rank priority of the team, else of the route; 0 is the highest
 * @param started whether the request's program has already used runner time
 * @param returned whether the request begins a program that was rejected before and returns within its return slot
 * @param programDeadlineNanos time at which the program should be finished, ns; empty if unknown
 * @param deadlineNanos time at which the caller gives up the request itself, ns
 * @param neededNanos learned time from the start of the request to the end of its program, ns; 0 if unknown
 * @param arrival ascending number of the request at this node
 */
public record WaitingRequest(
        String service,
        String team,
        int rank,
        boolean started,
        boolean returned,
        OptionalLong programDeadlineNanos,
        long deadlineNanos,
        long neededNanos,
        long arrival) {}
