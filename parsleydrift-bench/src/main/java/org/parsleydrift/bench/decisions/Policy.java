package org.parsleydrift.bench.decisions;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.RunnerChoice;
import org.parsleydrift.placement.TypicalRequest;

/** A policy that chooses the engine of a turn. */
public sealed interface Policy {
    /** Chooses engines with a free slot in rotation, regardless of load. */
    record RoundRobin() implements Policy {}

    /** Chooses the least loaded engine, regardless of its cache. */
    record LeastLoaded() implements Policy {}

    /** Chooses the engine of the program's last turn if it has a free slot, otherwise the least loaded. */
    record Sticky() implements Policy {}

    /** Chooses the last engine if it has at most one request more than the least loaded, otherwise the least loaded. */
    record OneMore() implements Policy {}

    /**
     * The scheduler's cache-aware policy, {@link RunnerChoice}, whose mechanisms can be disabled one by one.
     *
     * @param heard whether grants tell which parts engines cached in turns placed by other nodes
     * @param waits whether a turn waits for a full engine that caches its prompt
     * @param drawn number of randomly sampled engines without a cached part of the prompt; 0 for all of them
     * @param speeds whether the speeds of engines are learned and used
     */
    record HeldParts(boolean heard, boolean waits, int drawn, boolean speeds) implements Policy {
        /** Creates the policy with the scheduler's settings, without learned speeds. */
        public HeldParts() {
            this(true, true, 2);
        }

        /**
         * Creates the policy without learned speeds.
         *
         * @param heard whether grants tell which parts engines cached in turns placed by other nodes
         * @param waits whether a turn waits for a full engine that caches its prompt
         * @param drawn number of randomly sampled engines without a cached part of the prompt; 0 for all of them
         */
        public HeldParts(boolean heard, boolean waits, int drawn) {
            this(heard, waits, drawn, false);
        }
    }

    /**
     * Returns whether placement uses the cached parts reported by grants.
     *
     * @return false if that mechanism is disabled
     */
    default boolean usesGrants() {
        return !(this instanceof HeldParts parts) || parts.heard();
    }

    /**
     * Returns whether the speeds of engines are learned and used.
     *
     * @return false unless that mechanism is enabled
     */
    default boolean learnsSpeeds() {
        return this instanceof HeldParts parts && parts.speeds();
    }

    /**
     * The input of a placement decision.
     *
     * @param candidates all engines with their load and uncached tokens
     * @param lastEngine incarnation of the engine of the program's last turn; empty before the first
     * @param typical typical work of a turn
     * @param isWaitExhausted whether the turn exceeded its maximum wait for a caching engine
     * @param placementCount number of placements made so far
     */
    record PlacementContext(
            List<Candidate> candidates,
            String lastEngine,
            TypicalRequest typical,
            boolean isWaitExhausted,
            int placementCount) {}

    /**
     * Chooses an engine for a turn.
     *
     * @param context the input of the decision
     * @param random random generator for tie-breaking and sampling
     * @return the engine, or empty if the turn must wait
     */
    default Optional<Candidate> choose(PlacementContext context, RandomGenerator random) {
        return switch (this) {
            case RoundRobin ignored ->
                withFreeSlot(context)
                        .skip(context.placementCount()
                                % Math.max(1, withFreeSlot(context).count()))
                        .findFirst();
            case LeastLoaded ignored -> leastLoaded(context, random);
            case Sticky ignored -> lastUsed(context, Integer.MAX_VALUE).or(() -> leastLoaded(context, random));
            case OneMore ignored -> lastUsed(context, 1).or(() -> leastLoaded(context, random));
            case HeldParts parts ->
                RunnerChoice.choose(
                        context.candidates(),
                        context.typical(),
                        context.isWaitExhausted() || !parts.waits(),
                        parts.drawn(),
                        random);
        };
    }

    private static Stream<Candidate> withFreeSlot(PlacementContext context) {
        return context.candidates().stream()
                .filter(each -> each.load() < each.runner().slots());
    }

    private static Optional<Candidate> leastLoaded(PlacementContext context, RandomGenerator random) {
        return withFreeSlot(context).min(Comparator.comparingDouble(each -> each.load() + random.nextDouble()));
    }

    private static Optional<Candidate> lastUsed(PlacementContext context, int allowance) {
        int least =
                context.candidates().stream().mapToInt(Candidate::load).min().orElse(0);
        return withFreeSlot(context)
                .filter(each -> each.runner().incarnation().equals(context.lastEngine()))
                .filter(each -> each.load() - allowance <= least)
                .findFirst();
    }
}
