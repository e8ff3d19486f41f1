package org.parsleydrift.placement.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.parsleydrift.placement.SlidingWindowCounter;

/**
 * Learned rate at which the slots of one service become free, from the requests of this node: completions per time that
 * its requests occupied slots, in the last second and, with a small weight, over the last completions. Not thread-safe;
 * confined to one event loop.
 */
public final class DrainRate {
    private static final Duration WINDOW = Duration.ofSeconds(1);
    /** Window of the ranks' shares; longer, since a node of a large fleet assigns only some slots per second. */
    private static final Duration RANK_WINDOW = Duration.ofSeconds(2);
    /** Weight of the long-term mean against the window, seconds of one slot. */
    private static final double LONG_TERM_WEIGHT = 2;
    /** Weight of the assumption that a rank gets all slots, assignments; a few assignments show little. */
    private static final double WHOLE_SHARE_WEIGHT = 2;
    /** Number of completions at which the long-term sums are halved, so that older ones lose weight. */
    private static final double MAX_COMPLETIONS = 100;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final SlidingWindowCounter completions = new SlidingWindowCounter(WINDOW);
    private final SlidingWindowCounter occupiedMicros = new SlidingWindowCounter(WINDOW);
    private final Map<Integer, SlidingWindowCounter> assigned = new HashMap<>();
    private int occupied;
    private long accountedNanos;
    private double occupiedSecondsSinceCompletion;
    private double longTermSeconds;
    private double longTermCompletions;

    /**
     * Records that a request of this node was assigned to a runner of the service.
     *
     * @param rank rank of the request
     * @param nowNanos current time, ns
     */
    public void recordAssigned(int rank, long nowNanos) {
        account(nowNanos);
        occupied++;
        assigned.computeIfAbsent(rank, any -> new SlidingWindowCounter(RANK_WINDOW))
                .add(nowNanos, 1);
    }

    /**
     * Records that a slot used by this node became free, for whatever reason.
     *
     * @param ran whether the runner ran the request; else the slot was not used and does not count as a completion
     * @param nowNanos current time, ns
     */
    public void recordReleased(boolean ran, long nowNanos) {
        account(nowNanos);
        occupied = Math.max(0, occupied - 1);
        if (!ran) {
            return;
        }
        completions.add(nowNanos, 1);
        longTermCompletions++;
        longTermSeconds += occupiedSecondsSinceCompletion;
        occupiedSecondsSinceCompletion = 0;
        if (longTermCompletions > MAX_COMPLETIONS) {
            longTermCompletions /= 2;
            longTermSeconds /= 2;
        }
    }

    /**
     * Returns the predicted rate at which slots become free to a rank in the whole fleet: what is left by better ranks,
     * but at least the rank's floor. Without completions in the last second it follows from the last known mean time.
     *
     * @param rank the rank
     * @param floorShare share of the assigned slots that each waiting rank gets
     * @param load requests at the runners of the service, of the whole fleet
     * @param slots slots of the service
     * @param nowNanos current time, ns
     * @return slots per second; 0 if no completion was ever seen
     */
    public double slotsPerSecond(int rank, double floorShare, int load, int slots, long nowNanos) {
        if (longTermSeconds == 0) {
            return 0;
        }
        account(nowNanos);
        double longTermRate = longTermCompletions / longTermSeconds;
        int recent = completions.sum(nowNanos);
        double seconds = occupiedMicros.sum(nowNanos) / MICROS_PER_SECOND;
        double ratePerRequest =
                recent == 0 ? longTermRate : (recent + LONG_TERM_WEIGHT * longTermRate) / (seconds + LONG_TERM_WEIGHT);
        // Requests in the runners' own queues take part: their time includes the wait for a slot.
        return ratePerRequest * Math.max(load, slots) * Math.max(floorShare, 1 - betterShare(rank, nowNanos));
    }

    private double betterShare(int rank, long nowNanos) {
        int total =
                assigned.values().stream().mapToInt(each -> each.sum(nowNanos)).sum();
        int better = assigned.entrySet().stream()
                .filter(each -> each.getKey() < rank)
                .mapToInt(each -> each.getValue().sum(nowNanos))
                .sum();
        return better / (total + WHOLE_SHARE_WEIGHT);
    }

    /** Adds the time that slots were occupied since the last call; a longer time than the window is cut off. */
    private void account(long nowNanos) {
        long nanos = occupied * Math.min(nowNanos - accountedNanos, WINDOW.toNanos());
        if (occupied > 0 && nanos > 0) {
            occupiedMicros.add(nowNanos, (int) Math.min(Integer.MAX_VALUE / 2, nanos / NANOS_PER_MICRO));
            occupiedSecondsSinceCompletion += nanos / NANOS_PER_SECOND;
        }
        accountedNanos = nowNanos;
    }
}
