package org.parsleydrift.placement.queue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Order in which a node's waiting requests are assigned to runners: by rank, programs in progress before new ones,
 * teams below their even share, requests that can still end in time before those that cannot, returning programs,
 * earliest deadline, arrival. A late program of a lower rank is served from leftover capacity, and before others once it
 * would otherwise lose the rest of its worth.
 *
 * <p>Programs in progress precede new ones even if they are late: a program that is begun and then lost wastes all that
 * it has used.
 *
 * <p>Requests of lower ranks that are due by {@link RankFloors} are placed in between.
 */
public final class QueueOrder {
    /** Upper bound of the time left until a deadline; a later one is misstated. */
    static final long MAX_LEFT_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Factor on the learned time; programs wait again between their turns, and some take longer than the mean. */
    private static final double MARGIN = 1.4;
    /**
     * Delay beyond the deadline, in multiples of the learned time, from which on a late program of a lower rank precedes
     * others. It keeps most of its worth up to twice its time, so it is served before it loses it.
     */
    private static final double LAST_CALL = 1.3;
    /** Delay beyond the deadline, in multiples of the learned time, from which on a program is probably worthless. */
    private static final double TOO_LATE = 2.2;

    private static final Comparator<Position<?>> ORDER = Comparator.<Position<?>>comparingInt(
                    each -> each.request().rank())
            .thenComparing(each -> !each.request().started())
            .thenComparing(each -> !each.belowShare())
            .thenComparing(Position::timeliness)
            .thenComparing(each -> !each.request().returned())
            .thenComparingLong(Position::leftNanos)
            .thenComparingLong(each -> each.request().arrival());

    private QueueOrder() {}

    /**
     * Returns the entries of a queue in order of assignment.
     *
     * @param <T> type of the entries
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
        Map<String, Set<String>> favored = teamsBelowShare(entries.stream().map(view), nowNanos, shares);
        Map<String, List<Position<T>>> byService = entries.stream()
                .map(each -> position(each, view.apply(each), nowNanos, favored))
                .sorted(ORDER)
                .collect(Collectors.groupingBy(each -> each.request().service()));
        return byService.entrySet().stream()
                .flatMap(each ->
                        floors
                                .interleave(
                                        each.getKey(),
                                        each.getValue(),
                                        position -> position.request().rank())
                                .stream())
                .map(Position::entry)
                .toList();
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
        List<WaitingRequest> others = waiting.stream()
                .filter(each -> each.service().equals(request.service()))
                .filter(each -> each.arrival() != request.arrival())
                .toList();
        Map<String, Set<String>> favored =
                teamsBelowShare(Stream.concat(others.stream(), Stream.of(request)), nowNanos, shares);
        Position<?> own = position(request, request, nowNanos, favored);
        return (int) others.stream()
                .filter(each -> ORDER.compare(position(each, each, nowNanos, favored), own) < 0)
                .count();
    }

    private static Map<String, Set<String>> teamsBelowShare(
            Stream<WaitingRequest> requests, long nowNanos, TeamShares shares) {
        Map<String, Set<String>> waitingTeams = requests.collect(Collectors.groupingBy(
                WaitingRequest::service, Collectors.mapping(WaitingRequest::team, Collectors.toSet())));
        waitingTeams.replaceAll((service, teams) -> shares.belowShare(service, teams, nowNanos));
        return waitingTeams;
    }

    private static <T> Position<T> position(
            T entry, WaitingRequest request, long nowNanos, Map<String, Set<String>> favored) {
        OptionalLong programDeadline = request.programDeadlineNanos();
        long leftNanos = Math.clamp(programDeadline.orElse(request.deadlineNanos()) - nowNanos, 0, MAX_LEFT_NANOS);
        Timeliness timeliness = timeliness(request, nowNanos);
        return new Position<>(
                entry, request, timeliness, favored.get(request.service()).contains(request.team()), leftNanos);
    }

    private static Timeliness timeliness(WaitingRequest request, long nowNanos) {
        if (request.programDeadlineNanos().isEmpty()) {
            return Timeliness.IN_TIME;
        }
        long left = request.programDeadlineNanos().getAsLong() - nowNanos;
        double needed = Math.max(0, request.neededNanos());
        double late = needed * MARGIN - left;
        if (late <= 0 && left > 0) {
            return Timeliness.IN_TIME;
        }
        if (request.rank() == 0 || request.started() || late < LAST_CALL * needed) {
            return Timeliness.LATE;
        }
        return late < TOO_LATE * needed ? Timeliness.LAST_CALL : Timeliness.TOO_LATE;
    }

    /** What can still be expected of a request, in order of precedence. */
    private enum Timeliness {
        /** A new program of a lower rank that is late and soon loses the rest of its worth. */
        LAST_CALL,
        IN_TIME,
        LATE,
        /** A new program of a lower rank that is probably worthless to its caller. */
        TOO_LATE
    }

    /** An entry with what its position depends on; the time left is bounded. */
    private record Position<T>(
            T entry, WaitingRequest request, Timeliness timeliness, boolean belowShare, long leftNanos) {}
}
