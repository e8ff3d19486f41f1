package org.parsleydrift.placement.queue;

import java.util.List;
import java.util.function.Function;

/**
 * Order in which a node's waiting requests are assigned to runners: by rank, requests that can still end in time before
 * those that cannot, programs in progress, returning programs, teams below their even share, earliest deadline, arrival.
 * Requests of lower ranks that are due by {@link RankFloors} are placed in between.
 */
public final class QueueOrder {
    private QueueOrder() {}

    /**
     * Returns the entries of a queue in order of assignment.
     *
     * @param entries entries of the queue, of any services
     * @param view returns the request of an entry
     * @param nowNanos current time, ns
     * @param shares recent assignments by team
     * @param floors recent assignments by rank
     * @return the entries in order, in a new list
     */
    public static <T> List<T> sort(
            List<T> entries,
            Function<? super T, WaitingRequest> view,
            long nowNanos,
            TeamShares shares,
            RankFloors floors) {
        return List.copyOf(entries);
    }

    /**
     * Returns the number of waiting requests of the same service that precede a request, apart from rank floors.
     *
     * @param waiting requests waiting at this node; may contain the request itself
     * @param request the request
     * @param nowNanos current time, ns
     * @param shares recent assignments by team
     * @return number of requests ahead
     */
    public static int countAhead(
            List<WaitingRequest> waiting, WaitingRequest request, long nowNanos, TeamShares shares) {
        return 0;
    }
}
