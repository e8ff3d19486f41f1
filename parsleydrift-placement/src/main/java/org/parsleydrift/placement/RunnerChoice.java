package org.parsleydrift.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a runner. Load pattern: callers spread over all nodes at random, and each node sees the others' share with a
 * delay; ties are broken by lot, since nodes that all took the first would meet at one runner. Among equals those of the
 * node's own zone go first: they save two crossings between zones, 2.8 ms and the bytes of prompt and answer.
 */
public final class RunnerChoice {
    /**
     * Requests more than at the least loaded runner that a warm one may have. Each request in a batch lengthens its
     * steps, while reading a usual prompt anew takes some 7 ms (1,166 tokens at 168 a ms), about the price of one.
     */
    private static final int WARM_ALLOWANCE = 1;

    private RunnerChoice() {}

    /**
     * Chooses a runner with room.
     *
     * @param candidates runners of the service that may get new requests
     * @param warmRunner the id of the runner that served the program last; empty for none
     * @param random breaks ties
     * @return the runner; empty if none has room
     */
    public static Optional<Candidate> choose(List<Candidate> candidates, String warmRunner, RandomGenerator random) {
        boolean anyHealthy = candidates.stream().anyMatch(each -> !each.suspended());
        List<Candidate> open = candidates.stream()
                // When all have failed, one of them must be tried: leaving a whole service alone serves nobody.
                .filter(each -> !anyHealthy || !each.suspended())
                .filter(Candidate::hasRoom)
                .toList();
        int least = open.stream().mapToInt(Candidate::load).min().orElse(0);
        return open.stream()
                .filter(each -> each.runner().id().equals(warmRunner) && each.load() <= least + WARM_ALLOWANCE)
                .findFirst()
                .or(() -> leastLoaded(open, random));
    }

    private static Optional<Candidate> leastLoaded(List<Candidate> open, RandomGenerator random) {
        return open.stream()
                .map(each -> new Drawn(each, random.nextDouble()))
                .min(Comparator.comparingDouble(Drawn::share)
                        .thenComparing(each -> !each.candidate().near())
                        .thenComparingDouble(Drawn::lot))
                .map(Drawn::candidate);
    }

    private record Drawn(Candidate candidate, double lot) {
        double share() {
            return (double) candidate.load() / Math.max(1, candidate.runner().slots());
        }
    }
}
