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
 */
public final class RunnerChoice {
    /** Slots per request that may queue at a runner; its own queue refills a freed slot without the reporting delay. */
    static final int QUEUED_SHARE = 4;

    /** Additional load, in requests, at which a runner in the node's zone is still preferred to one in another zone. */
    private static final double NEAR_REQUESTS = 2;
    /** Reciprocal of the share of occupied slots from which on a runner in the node's zone is no longer preferred. */
    private static final int FREE_SHARE = 2;

    /** Runners sampled at random; if nodes with outdated loads compared all runners, they would choose the same one. */
    static final int DRAWN = 2;

    private RunnerChoice() {}

    /**
     * Chooses a runner with the default sample size.
     *
     * @param candidates runners of the service that accept new requests
     * @param usualMissing average number of uncached prompt tokens per request of the service; 0 without prompts
     * @param anywhere whether any runner below its maximum load is acceptable, since the request's queue wait is nearly
     *     over
     * @param random source of randomness for sampling and ties
     * @return the runner; empty if all are full, or if the best one is full and worth the wait
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates, double usualMissing, boolean anywhere, RandomGenerator random) {
        return choose(candidates, usualMissing, anywhere, DRAWN, random);
    }

    /**
     * Chooses among the runners that have cached some of the prompt and a random sample of the others.
     *
     * @param candidates runners of the service that accept new requests
     * @param usualMissing average number of uncached prompt tokens per request of the service; 0 without prompts
     * @param anywhere whether any runner below its maximum load is acceptable, since the request's queue wait is nearly
     *     over
     * @param drawn number of sampled runners that have cached nothing of the prompt; 0 to compare all
     * @param random source of randomness for sampling and ties
     * @return the runner; empty if all are full, or if the best one is full and worth the wait
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates, double usualMissing, boolean anywhere, int drawn, RandomGenerator random) {
        // Near the end of its queue wait a request must find any free runner, also one outside the sample.
        boolean all = drawn == 0 || anywhere;
        return chooseAmong(
                all ? candidates : draw(candidates, drawn, usualMissing > 0, random), usualMissing, anywhere, random);
    }

    private static List<Candidate> draw(
            List<Candidate> candidates, int drawn, boolean prompted, RandomGenerator random) {
        int most = candidates.stream().mapToInt(Candidate::uncachedTokens).max().orElse(0);
        Stream<Candidate> holding = candidates.stream().filter(each -> each.uncachedTokens() < most);
        List<Candidate> free = candidates.stream()
                .filter(each -> each.uncachedTokens() == most && !each.suspended())
                .filter(each -> each.load() < each.maxLoad(prompted))
                .toList();
        // Without prompts each zone is sampled separately; a sample of all runners would rarely contain a local one.
        Stream<Candidate> others = prompted
                ? someOf(free, drawn, random)
                : Stream.concat(
                        someOf(free.stream().filter(Candidate::sameZone).toList(), drawn, random),
                        someOf(free.stream().filter(each -> !each.sameZone()).toList(), drawn, random));
        List<Candidate> met = Stream.concat(holding, others).toList();
        return met.isEmpty() ? candidates : met;
    }

    private static Stream<Candidate> someOf(List<Candidate> from, int count, RandomGenerator random) {
        return from.size() <= count
                ? from.stream()
                : random.ints(0, from.size()).distinct().limit(count).mapToObj(from::get);
    }

    private static Optional<Candidate> chooseAmong(
            List<Candidate> candidates, double usualMissing, boolean anywhere, RandomGenerator random) {
        boolean anyHealthy = candidates.stream().anyMatch(each -> !each.suspended());
        boolean prompted = usualMissing > 0;
        int largest = candidates.stream()
                .mapToInt(each -> each.runner().slots())
                .max()
                .orElse(1);
        return candidates.stream()
                // If all runners are suspended, one is tried nevertheless.
                .filter(each -> !anyHealthy || !each.suspended())
                .filter(each -> !anywhere || each.load() < each.maxLoad(prompted))
                .map(each -> new Drawn(each, cost(each, largest, usualMissing), random.nextDouble()))
                .min(Comparator.comparingDouble(Drawn::cost)
                        .thenComparing(each -> !each.candidate().sameZone())
                        .thenComparingDouble(Drawn::lot))
                .map(Drawn::candidate)
                .filter(each -> each.load() < each.maxLoad(prompted));
    }

    /** Returns the cost in tokens computed while requests wait; in requests for services without prompts. */
    private static double cost(Candidate candidate, int largest, double usualMissing) {
        double beside = (double) candidate.load()
                * largest
                / Math.max(1, candidate.runner().slots());
        if (usualMissing > 0) {
            return candidate.uncachedTokens() * (1 + beside) + beside * usualMissing;
        }
        boolean nearWithPlaces = candidate.sameZone()
                && candidate.load() * FREE_SHARE < candidate.runner().slots();
        return nearWithPlaces ? beside - NEAR_REQUESTS : beside;
    }

    private record Drawn(Candidate candidate, double cost, double lot) {}
}
