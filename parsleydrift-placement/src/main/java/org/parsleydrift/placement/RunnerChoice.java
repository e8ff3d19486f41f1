package org.parsleydrift.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses a runner for a request. A model engine delays its whole batch while it computes uncached prompt tokens, so
 * the cost of a placement is the uncached part of the prompt, for the request itself and for those that run beside it,
 * plus the delay by the prompts of later requests. The runner with the lowest cost is chosen; if it is full, the
 * request waits for it instead of recomputing its prompt elsewhere. Runners of services without prompts are compared by
 * load alone.
 *
 * <p>Each node sees the load of its peers with a delay. Only a random sample of the runners that have cached nothing of
 * the prompt is therefore compared, and ties are broken at random. Among equal runners those in the node's zone are
 * preferred.
 *
 * <p>The cost is weighted by the learned time factor of the runner. A response takes the factor times as long, which
 * also decides among idle runners. With factors of 1.0 neither the costs nor the random numbers drawn change.
 */
public final class RunnerChoice {
    /**
     * Slots per request that may queue at a runner; its own queue refills a freed slot without the reporting delay,
     * which is 40 to 80 ms in a full mesh, a sixth of a usual turn.
     */
    static final int SLOTS_PER_QUEUED_REQUEST = 4;

    /** Additional load, in requests, at which a runner in the node's zone is still preferred to one in another zone. */
    private static final double SAME_ZONE_ADVANTAGE = 2;
    /** Reciprocal of the share of occupied slots from which on a runner in the node's zone is no longer preferred. */
    private static final int SAME_ZONE_LOAD_DIVISOR = 2;

    /**
     * Runners sampled at random; if nodes with outdated loads compared all runners, they would choose the same one.
     * With 57 nodes and 31 engines of six slots in a burst, the model ({@code bin/bench decisions}) gives a worth of
     * 0.759 with all compared, 0.826 with eight, 0.914 with four and 0.975 with two.
     */
    static final int SAMPLE_SIZE = 2;

    /**
     * Reciprocal of the share of requests that are placed regardless of speed while runners differ, so that slow runners
     * keep being observed and their recovery is seen.
     */
    static final int REQUESTS_PER_PROBE = 32;

    /**
     * Limit of the time of generation that a faster runner saves, in average prompts. A runner's load therefore still
     * counts, as nodes with outdated loads would otherwise fill the few fast runners.
     */
    private static final double MAX_GENERATION_PROMPTS = 4;
    /** Reciprocal of the share of a runner's slots whose load a runner of half the time may have in addition. */
    private static final double SPEED_ADVANTAGE_DIVISOR = 2;

    private RunnerChoice() {}

    /**
     * Chooses a runner with a sample of the default size.
     *
     * @param candidates runners of the service that accept new requests
     * @param typical typical work of a request of the service
     * @param anyRunner whether any runner below its maximum load is acceptable, since the request's queue wait is
     *     nearly over
     * @param random source of randomness for sampling and ties
     * @return the runner; empty if all are full, or if the best one is full and worth the wait
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates, TypicalRequest typical, boolean anyRunner, RandomGenerator random) {
        return choose(candidates, typical, anyRunner, SAMPLE_SIZE, random);
    }

    /**
     * Chooses among the runners that have cached some of the prompt and a random sample of the others.
     *
     * @param candidates runners of the service that accept new requests
     * @param typical typical work of a request of the service
     * @param anyRunner whether any runner below its maximum load is acceptable, since the request's queue wait is
     *     nearly over
     * @param sampleSize number of sampled runners that have cached nothing of the prompt; 0 to compare all
     * @param random source of randomness for sampling and ties
     * @return the runner; empty if all are full, or if the best one is full and worth the wait
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates,
            TypicalRequest typical,
            boolean anyRunner,
            int sampleSize,
            RandomGenerator random) {
        // Random numbers are drawn only where runners differ, so that equal runners are chosen as without speeds.
        boolean probe = candidates.stream().anyMatch(each -> !each.hasTypicalSpeed())
                && random.nextInt(REQUESTS_PER_PROBE) == 0;
        List<Candidate> weighted =
                probe ? candidates.stream().map(Candidate::withTypicalSpeed).toList() : candidates;
        // Near the end of its queue wait a request must find any free runner, also one outside the sample.
        boolean compareAll = sampleSize == 0 || anyRunner;
        Optional<Candidate> chosen = chooseCheapest(
                compareAll ? weighted : sample(weighted, sampleSize, typical.hasPrompt(), random),
                typical,
                anyRunner,
                random);
        return probe ? chosen.map(each -> candidates.get(weighted.indexOf(each))) : chosen;
    }

    private static List<Candidate> sample(
            List<Candidate> candidates, int sampleSize, boolean hasPrompt, RandomGenerator random) {
        int maxUncached =
                candidates.stream().mapToInt(Candidate::uncachedTokens).max().orElse(0);
        Stream<Candidate> cached = candidates.stream().filter(each -> each.uncachedTokens() < maxUncached);
        List<Candidate> free = candidates.stream()
                .filter(each -> each.uncachedTokens() == maxUncached && !each.suspended())
                .filter(each -> each.load() < each.maxLoad(hasPrompt))
                .toList();
        // Without prompts each zone is sampled separately; a sample of all runners would rarely contain a local one.
        Stream<Candidate> others = hasPrompt
                ? randomSubset(free, sampleSize, random)
                : Stream.concat(
                        randomSubset(free.stream().filter(Candidate::sameZone).toList(), sampleSize, random),
                        randomSubset(
                                free.stream().filter(each -> !each.sameZone()).toList(), sampleSize, random));
        List<Candidate> sampled = Stream.concat(cached, others).toList();
        return sampled.isEmpty() ? candidates : sampled;
    }

    private static Stream<Candidate> randomSubset(List<Candidate> from, int count, RandomGenerator random) {
        return from.size() <= count
                ? from.stream()
                : random.ints(0, from.size()).distinct().limit(count).mapToObj(from::get);
    }

    private static Optional<Candidate> chooseCheapest(
            List<Candidate> candidates, TypicalRequest typical, boolean anyRunner, RandomGenerator random) {
        boolean anyHealthy = candidates.stream().anyMatch(each -> !each.suspended());
        boolean hasPrompt = typical.hasPrompt();
        int maxSlots = candidates.stream()
                .mapToInt(each -> each.runner().slots())
                .max()
                .orElse(1);
        return candidates.stream()
                // If all runners are suspended, one is tried nevertheless.
                .filter(each -> !anyHealthy || !each.suspended())
                .filter(each -> !anyRunner || each.load() < each.maxLoad(hasPrompt))
                .map(each -> new Scored(each, cost(each, maxSlots, typical), random.nextDouble()))
                .min(Comparator.comparingDouble(Scored::cost)
                        .thenComparing(each -> !each.candidate().sameZone())
                        .thenComparingDouble(Scored::tieBreaker))
                .map(Scored::candidate)
                .filter(each -> each.load() < each.maxLoad(hasPrompt));
    }

    /**
     * Returns the cost in tokens that a typical runner computes while requests wait; in requests for services without
     * prompts.
     */
    private static double cost(Candidate candidate, int maxSlots, TypicalRequest typical) {
        double relativeLoad = (double) candidate.load()
                * maxSlots
                / Math.max(1, candidate.runner().slots());
        double factor = candidate.timeFactor();
        if (typical.hasPrompt()) {
            double generation = Math.min(typical.generationTokens(), MAX_GENERATION_PROMPTS * typical.uncachedTokens());
            return factor * (candidate.uncachedTokens() * (1 + relativeLoad) + relativeLoad * typical.uncachedTokens())
                    + (factor - Candidate.TYPICAL) * generation;
        }
        boolean preferred = candidate.sameZone()
                && candidate.load() * SAME_ZONE_LOAD_DIVISOR
                        < candidate.runner().slots();
        double timeCost = factor * relativeLoad + (factor - Candidate.TYPICAL) * maxSlots / SPEED_ADVANTAGE_DIVISOR;
        return preferred ? timeCost - SAME_ZONE_ADVANTAGE : timeCost;
    }

    private record Scored(Candidate candidate, double cost, double tieBreaker) {}
}
