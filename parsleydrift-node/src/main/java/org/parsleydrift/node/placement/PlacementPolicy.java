package org.parsleydrift.node.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses a runner for a turn. A kind of policy is a record here; the set is closed so that each is measured. */
public sealed interface PlacementPolicy {
    /**
     * Chooses.
     *
     * @param promptCharacters the length of the prompt
     * @param candidates runners that take new work
     * @return the choice, or empty if there is none
     */
    Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates);

    /**
     * A runner as the policy sees it.
     *
     * @param address its address
     * @param running turns that this node runs there
     * @param slots turns that it runs at once
     * @param warmCharacters characters of this prompt believed to be cached there
     */
    record Candidate(String address, int running, int slots, int warmCharacters) {}

    /**
     * Weighs the wait against the prompt that must be computed again.
     *
     * @param latencyWeight weight of the wait
     * @param cacheWeight weight of uncached prompt
     */
    record WarmthAndLoad(double latencyWeight, double cacheWeight) implements PlacementPolicy {
        private static final double CHARACTERS_PER_SLOT_WAIT = 4000;

        @Override
        public Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates) {
            return candidates.stream().min(Comparator.comparingDouble(each -> cost(promptCharacters, each)));
        }

        /**
         * The cost of a choice.
         *
         * @param promptCharacters the length of the prompt
         * @param candidate the runner
         * @return a number without unit, lower is better
         */
        public double cost(int promptCharacters, Candidate candidate) {
            double load = (double) candidate.running() / candidate.slots();
            double uncached = Math.max(0, promptCharacters - candidate.warmCharacters());
            return latencyWeight * load + cacheWeight * uncached / CHARACTERS_PER_SLOT_WAIT;
        }
    }

    /** The fewest running turns; a baseline. */
    record LeastLoaded() implements PlacementPolicy {
        @Override
        public Optional<Candidate> choose(int promptCharacters, List<Candidate> candidates) {
            return candidates.stream().min(Comparator.comparingDouble(each -> (double) each.running() / each.slots()));
        }
    }
}
