package org.parsleydrift.placement.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleydrift.placement.speed.SpeedSum;

/**
 * What entry nodes tell each other about services under contention: the report of one node, or the total of several.
 *
 * @param waiting number of waiting requests by service name and rank; rank 0 is the best
 * @param speeds observed speeds by {@link org.parsleydrift.registry.RunnerKey}
 * @param returnMillis time until the return slot of rejected programs by a hash of the program id, ms; negative after
 *     the slot
 */
public record FleetReport(
        Map<String, Map<Integer, Integer>> waiting, Map<Long, SpeedSum> speeds, Map<Long, Integer> returnMillis) {
    /** The report of a node without contention. */
    public static final FleetReport NONE = new FleetReport(Map.of(), Map.of(), Map.of());

    /** Maximum number of services with waiting requests. */
    public static final int MAX_SERVICES = 64;
    /** Maximum number of ranks per service. */
    public static final int MAX_RANKS = 8;
    /** Maximum number of runners with a speed; with 17 bytes each, the speeds stay below 5 kB. */
    public static final int MAX_SPEEDS = 256;
    /** Maximum number of return times. */
    public static final int MAX_RETURNS = 256;
    /** Time after its slot at which a return time is discarded. */
    public static final Duration RETURN_RETENTION = Duration.ofSeconds(2);

    /** Copies the maps; omits services without waiting requests. */
    public FleetReport {
        waiting = waiting.entrySet().stream()
                .map(each -> Map.entry(each.getKey(), withoutZeros(each.getValue())))
                .filter(each -> !each.getValue().isEmpty())
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
        speeds = Map.copyOf(speeds);
        returnMillis = Map.copyOf(returnMillis);
    }

    /**
     * Returns whether there is nothing to report.
     *
     * @return true without waiting requests, speeds and return times
     */
    public boolean isEmpty() {
        return waiting.isEmpty() && speeds.isEmpty() && returnMillis.isEmpty();
    }

    /**
     * Returns the number of waiting requests of a service.
     *
     * @param service name of the service
     * @param worstRank the last rank included
     * @return the number of waiting requests of this rank and all better ones
     */
    public int waitingUpTo(String service, int worstRank) {
        return waiting.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(each -> each.getKey() <= worstRank)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Combines the reports of different nodes: adds waiting requests and speeds, and joins the return times. A program
     * that was rejected twice keeps its later slot.
     *
     * @param other the report of other nodes
     * @return the total
     */
    public FleetReport plus(FleetReport other) {
        if (other.isEmpty()) {
            return this;
        }
        if (isEmpty()) {
            return other;
        }
        return new FleetReport(
                merge(waiting, other.waiting, (one, two) -> merge(one, two, Integer::sum)),
                merge(speeds, other.speeds, SpeedSum::merge),
                merge(returnMillis, other.returnMillis, Math::max));
    }

    /**
     * Subtracts the report of one of the nodes from a total. Its return times stay, since other nodes may have reported
     * the same programs.
     *
     * @param part the report to subtract
     * @return the difference; nothing becomes negative
     */
    public FleetReport minus(FleetReport part) {
        if (isEmpty() || part.isEmpty()) {
            return this;
        }
        Map<String, Map<Integer, Integer>> restWaiting = new HashMap<>(waiting);
        part.waiting.forEach((service, ranks) ->
                restWaiting.computeIfPresent(service, (same, all) -> merge(all, negate(ranks), Integer::sum)));
        Map<Long, SpeedSum> restSpeeds = new HashMap<>(speeds);
        part.speeds.forEach((runner, own) -> restSpeeds.computeIfPresent(runner, (same, all) -> difference(all, own)));
        return new FleetReport(restWaiting, restSpeeds, returnMillis);
    }

    /**
     * Returns the report as of a later time, without the return times that are to be discarded by then.
     *
     * @param millis time since the report was created, ms
     * @return the report with reduced return times
     */
    public FleetReport agedBy(long millis) {
        if (returnMillis.isEmpty()) {
            return this;
        }
        Map<Long, Integer> left = returnMillis.entrySet().stream()
                .filter(each -> each.getValue() - millis >= -RETURN_RETENTION.toMillis())
                .collect(Collectors.toMap(Map.Entry::getKey, each -> (int) (each.getValue() - millis)));
        return new FleetReport(waiting, speeds, left);
    }

    /**
     * Returns the part of the report that may be sent: the services and ranks with the most waiting requests, the
     * runners with the most observations, and the latest return slots.
     *
     * @return the report within the bounds of the status frames
     */
    public FleetReport limited() {
        if (waiting.size() <= MAX_SERVICES
                && waiting.values().stream().allMatch(each -> each.size() <= MAX_RANKS)
                && speeds.size() <= MAX_SPEEDS
                && returnMillis.size() <= MAX_RETURNS) {
            return this;
        }
        Map<String, Map<Integer, Integer>> ranks = waiting.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> largest(each.getValue(), MAX_RANKS, Comparator.naturalOrder())));
        return new FleetReport(
                largest(ranks, MAX_SERVICES, Comparator.comparingInt(FleetReport::total)),
                largest(speeds, MAX_SPEEDS, Comparator.comparingInt(SpeedSum::count)),
                largest(returnMillis, MAX_RETURNS, Comparator.naturalOrder()));
    }

    /**
     * Returns whether another report need not be sent at once after this one: it has the same waiting requests and
     * return slots. Speeds change with each response and go along with other changes.
     *
     * @param other the later report
     * @return true if only speeds and the time left until the slots differ
     */
    public boolean isEquivalent(FleetReport other) {
        return waiting.equals(other.waiting) && returnMillis.keySet().equals(other.returnMillis.keySet());
    }

    private static int total(Map<Integer, Integer> ranks) {
        return ranks.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Map<Integer, Integer> withoutZeros(Map<Integer, Integer> ranks) {
        return ranks.entrySet().stream()
                .filter(each -> each.getValue() > 0)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private static Map<Integer, Integer> negate(Map<Integer, Integer> ranks) {
        return ranks.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, each -> -each.getValue()));
    }

    /** Returns the observations of the other nodes; null if there are none. */
    private static SpeedSum difference(SpeedSum all, SpeedSum own) {
        int count = all.count() - own.count();
        if (count <= 0) {
            return null;
        }
        double sum = all.count() * all.meanFactor() - own.count() * own.meanFactor();
        SpeedSum rest = new SpeedSum(count, sum / count);
        return rest.isValid() ? rest : null;
    }

    private static <K, V> Map<K, V> merge(Map<K, V> one, Map<K, V> two, BinaryOperator<V> combine) {
        Map<K, V> merged = new HashMap<>(one);
        two.forEach((key, value) -> merged.merge(key, value, combine));
        return merged;
    }

    private static <K extends Comparable<K>, V> Map<K, V> largest(Map<K, V> from, int count, Comparator<V> order) {
        // Equal values are ordered by key, so that successive reports omit the same entries.
        List<Map.Entry<K, V>> sorted = from.entrySet().stream()
                .sorted(Map.Entry.<K, V>comparingByValue(order.reversed()).thenComparing(Map.Entry.comparingByKey()))
                .toList();
        Stream<Map.Entry<K, V>> kept = sorted.stream().limit(count);
        return kept.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
