package org.parsleydrift.node.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses a runner for a turn. */
public sealed interface PlacementPolicy {
    /**
     * Chooses a runner.
     *
     * @param promptCharacters length of the prompt in characters
     * @param candidates runners that accept new turns
     * @return the chosen runner, which may have no free slot, or empty if there are no candidates
     */
    Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates);

    /**
     * State of a runner as input to the policy.
     *
     * @param address address of the runner
     * @param running number of turns that this node runs there
     * @param slots number of turns that the runner can run concurrently
     * @param cachedCharacters estimated length of the prompt's cached prefix on the runner, in characters
     */
    record Candidate(String address, int running, int slots, int cachedCharacters) {}

    /**
     * Chooses the runner with the lowest weighted sum of load and uncached prompt length.
     *
     * @param latencyWeight weight of the load
     * @param cacheWeight weight of the uncached prompt
     */
    record CacheAndLoad(double latencyWeight, double cacheWeight) implements PlacementPolicy {
        private static final double UNCACHED_CHARACTERS_PER_LOAD_UNIT = 4000;

        @Override
        public Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates) {
            return candidates.stream().min(Comparator.comparingDouble(each -> cost(promptCharacters, each)));
        }

        /**
         * Computes the cost of placing a turn on a runner.
         *
         * @param promptCharacters length of the prompt in characters
         * @param candidate the runner
         * @return the cost, dimensionless; lower is better
         */
        public double cost(int promptCharacters, Candidate candidate) {
            double load = (double) candidate.running() / candidate.slots();
            double uncached = Math.max(0, promptCharacters - candidate.cachedCharacters());
            return latencyWeight * load + cacheWeight * uncached / UNCACHED_CHARACTERS_PER_LOAD_UNIT;
        }
    }

    /** Chooses the runner with the lowest ratio of running turns to slots. */
    record LeastLoaded() implements PlacementPolicy {
        @Override
        public Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates) {
            return candidates.stream().min(Comparator.comparingDouble(each -> (double) each.running() / each.slots()));
        }
    }
}
