package org.parsleydrift.placement.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Guarantees each lower rank with waiting requests a share of the slots that this node assigns for a service. Every
 * assignment earns each lower rank that waits a fraction of a slot; a rank that has earned a whole one is due. Not
 * thread-safe; confined to one event loop.
 */
public final class RankFloors {
    /** Upper bound of the floors of all ranks together, so that the best rank keeps at least half of the slots. */
    private static final double MAX_SUM_OF_FLOORS = 0.5;
    /** Upper bound of what a rank earns while it cannot be assigned, slots; bounds its burst afterwards. */
    private static final double MAX_EARNED = 2;
    /** Earned slots from which on a rank is due; allows for rounding of the sum. */
    private static final double DUE = 1 - 1e-9;

    private final double floorShare;
    private final Map<String, Map<Integer, Double>> earned = new HashMap<>();

    /**
     * Creates floors without recorded assignments.
     *
     * @param floorShare share of the assigned slots for each lower rank, 0 to 0.5
     */
    public RankFloors(double floorShare) {
        this.floorShare = floorShare;
    }

    /**
     * Records the assignment of a request to a runner.
     *
     * @param service service of the runner
     * @param rank rank of the request
     * @param waitingRanks ranks of the other requests of the service that wait at this node
     */
    public void recordAssigned(String service, int rank, Set<Integer> waitingRanks) {
        update(earned.computeIfAbsent(service, any -> new HashMap<>()), rank, waitingRanks);
    }

    /**
     * Returns whether a rank is due a slot. A due request may use the slots that are reserved for better ranks.
     *
     * @param service service of the runner
     * @param rank a rank with waiting requests
     * @return true if the rank got less than its floor
     */
    public boolean isDue(String service, int rank) {
        return earned.getOrDefault(service, Map.of()).getOrDefault(rank, 0.0) >= DUE;
    }

    /**
     * Returns the entries in the order in which they are due if all are assigned one after the other.
     *
     * @param sorted entries of one service by rank and by their order within the rank
     */
    <T> List<T> interleave(String service, List<T> sorted, ToIntFunction<T> rankOf) {
        TreeMap<Integer, Deque<T>> byRank = new TreeMap<>();
        sorted.forEach(each -> byRank.computeIfAbsent(rankOf.applyAsInt(each), any -> new ArrayDeque<>())
                .add(each));
        Map<Integer, Double> predicted = new HashMap<>(earned.getOrDefault(service, Map.of()));
        List<T> order = new ArrayList<>(sorted.size());
        while (byRank.size() > 1) {
            int rank = mostDue(predicted, byRank.keySet()).orElse(byRank.firstKey());
            Deque<T> entries = byRank.get(rank);
            order.add(entries.remove());
            if (entries.isEmpty()) {
                byRank.remove(rank);
            }
            update(predicted, rank, byRank.keySet());
        }
        byRank.values().forEach(order::addAll);
        return order;
    }

    private static Optional<Integer> mostDue(Map<Integer, Double> earned, Set<Integer> ranks) {
        return ranks.stream()
                .filter(each -> earned.getOrDefault(each, 0.0) >= DUE)
                .max(Comparator.<Integer>comparingDouble(earned::get).thenComparing(Comparator.reverseOrder()));
    }

    private void update(Map<Integer, Double> earned, int assigned, Set<Integer> waitingRanks) {
        TreeSet<Integer> ranks = new TreeSet<>(waitingRanks);
        ranks.add(assigned);
        double share = Math.min(floorShare, MAX_SUM_OF_FLOORS / ranks.size());
        ranks.tailSet(ranks.first(), false)
                .forEach(each -> earned.merge(each, share, (sum, added) -> Math.min(MAX_EARNED, sum + added)));
        earned.computeIfPresent(assigned, (same, sum) -> Math.max(0, sum - 1));
    }
}
