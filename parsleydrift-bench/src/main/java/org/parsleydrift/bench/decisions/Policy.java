package org.parsleydrift.bench.decisions;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.RunnerChoice;

/** A way to choose the engine of a turn. */
public sealed interface Policy {
    /** Engines in turn, whatever their load. */
    record RoundRobin() implements Policy {}

    /** The least loaded, whatever it has read. */
    record LeastLoaded() implements Policy {}

    /** The engine of the program's last turn while it has a place, else the least loaded. */
    record Sticky() implements Policy {}

    /** The engine of the program's last turn while it has at most one request more than the least loaded. */
    record OneMore() implements Policy {}

    /**
     * The product's own, {@link RunnerChoice}, with its mechanisms one by one.
     *
     * @param heard whether it knows from the grants what engines hold by other nodes' turns
     * @param waits whether a turn waits for a full engine that holds its prompt
     * @param drawn engines that hold nothing of the prompt and are drawn by lot; 0 for all. The product draws two
     */
    record HeldParts(boolean heard, boolean waits, int drawn) implements Policy {
        /** All mechanisms at work. */
        public HeldParts() {
            this(true, true, 2);
        }
    }

    /**
     * Whether turns are placed with what the grants say.
     *
     * @return false where that mechanism is off
     */
    default boolean usesGrants() {
        return !(this instanceof HeldParts parts) || parts.heard();
    }

    /**
     * What is known when a turn is placed.
     *
     * @param candidates the engines
     * @param lastEngine the life of the engine of the program's last turn; empty for none
     * @param meanUncachedTokens tokens that a usual turn has to read
     * @param isWaitExhausted whether the turn has waited nearly as long as it may
     * @param placementCount counts placements
     */
    record PlacementContext(
            List<Candidate> candidates,
            String lastEngine,
            double meanUncachedTokens,
            boolean isWaitExhausted,
            int placementCount) {}

    /**
     * Chooses an engine.
     *
     * @param situation what is known
     * @param random breaks ties
     * @return the engine; empty to wait
     */
    default Optional<Candidate> choose(PlacementContext situation, RandomGenerator random) {
        return switch (this) {
            case RoundRobin ignored ->
                withFreeSlot(situation)
                        .skip(situation.placementCount()
                                % Math.max(1, withFreeSlot(situation).count()))
                        .findFirst();
            case LeastLoaded ignored -> leastLoaded(situation, random);
            case Sticky ignored -> lastUsed(situation, Integer.MAX_VALUE).or(() -> leastLoaded(situation, random));
            case OneMore ignored -> lastUsed(situation, 1).or(() -> leastLoaded(situation, random));
            case HeldParts parts ->
                RunnerChoice.choose(
                        situation.candidates(),
                        situation.meanUncachedTokens(),
                        situation.isWaitExhausted() || !parts.waits(),
                        parts.drawn(),
                        random);
        };
    }

    private static Stream<Candidate> withFreeSlot(PlacementContext situation) {
        return situation.candidates().stream()
                .filter(each -> each.load() < each.runner().slots());
    }

    private static Optional<Candidate> leastLoaded(PlacementContext situation, RandomGenerator random) {
        return withFreeSlot(situation).min(Comparator.comparingDouble(each -> each.load() + random.nextDouble()));
    }

    private static Optional<Candidate> lastUsed(PlacementContext situation, int allowance) {
        int least =
                situation.candidates().stream().mapToInt(Candidate::load).min().orElse(0);
        return withFreeSlot(situation)
                .filter(each -> each.runner().incarnation().equals(situation.lastEngine()))
                .filter(each -> each.load() - allowance <= least)
                .findFirst();
    }
}
