package org.parsleydrift.relay;

import java.time.Duration;
import java.util.OptionalLong;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Team;

/**
 * What the order and the admission of a request depend on, besides its {@link QueuedRequest}.
 *
 * @param id id of this attempt of the caller
 * @param owner prefix that separates the programs of different teams
 * @param program id of the program, unique for its owner; the empty string for none
 * @param route name of the route
 * @param team name of the caller's team; the empty string for none
 * @param streaming whether the response is an event stream
 * @param programDeadlineNanos time at which the program should be finished, ns; empty if unknown
 * @param deadlineNanos time at which the caller gives up the request, ns
 * @param attempts number of runners that the request was sent to
 * @param mayHaveRun whether one of them may have run it
 */
record RequestFacts(
        String id,
        String owner,
        String program,
        String route,
        String team,
        boolean streaming,
        OptionalLong programDeadlineNanos,
        long deadlineNanos,
        int attempts,
        boolean mayHaveRun) {
    /**
     * Returns the facts of a request.
     *
     * @param parameters parameters of the request
     * @param team its team
     * @param route its route
     * @param attempts its attempts so far
     * @param startNanos time at which it arrived, ns
     * @param deadlineNanos time at which the caller gives it up, ns
     */
    static RequestFacts of(
            RequestParameters parameters,
            RequestTeam team,
            Route route,
            Attempts attempts,
            long startNanos,
            long deadlineNanos) {
        return new RequestFacts(
                parameters.id(),
                team.owner(),
                parameters.program(),
                route.name(),
                team.team().map(Team::name).orElse(""),
                route.isStreaming(),
                parameters.programDeadlineMillis().stream()
                        .map(each -> Math.min(each, RelayLimits.MAX_PROGRAM_TIME.toMillis()))
                        .map(each -> startNanos + Duration.ofMillis(each).toNanos())
                        .findAny(),
                deadlineNanos,
                attempts.count(),
                attempts.mayHaveRun());
    }
}
