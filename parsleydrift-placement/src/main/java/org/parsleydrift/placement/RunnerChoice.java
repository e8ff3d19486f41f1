package org.parsleydrift.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses a runner. Load pattern: bursts that fill all model engines. An engine reads prompts one chunk at a time, and all
 * requests in its batch wait meanwhile; what a request costs is therefore the reading of its prompt, for itself and for
 * each one that runs there, and its own share of the reading for those that come after it. The runner with the least of
 * this is chosen, and a request waits for it if it is full: at full engines a prompt read anew costs all of them more than
 * the wait. Where lines give up waiting early and are read anew elsewhere, a burst feeds on itself: with three times the
 * usual rate for 6 s the model engines of {@code bin/bench decisions} had to read 47% of all prompt tokens after waits of
 * 150 ms at most, 30% after 400 ms and 21% after 800 ms. Runners that read nothing are compared by load alone.
 *
 * <p>Callers spread over all nodes at random, and each node sees the others' share with a delay. So of the runners that
 * hold nothing of the prompt only a few are compared, drawn by lot, and ties are broken by lot too. Among equals those of
 * the node's own zone go first.
 */
public final class RunnerChoice {
    /**
     * One part in so many of a runner's slots may be queued there beyond them. A freed place is seen by other nodes some
     * 40 to 80 ms late, a sixth of a usual turn; the runner's own queue fills it at once.
     */
    static final int QUEUED_SHARE = 4;

    /**
     * Requests more that a plain runner of the node's own availability zone may have. They run side by side in its places, so
     * nobody waits for one more, while a call to another zone costs two crossings and the bytes of its answer.
     */
    private static final double NEAR_REQUESTS = 2;
    /** The above holds while less than one part in so many of its places is taken; nearly full, runners slow down. */
    private static final int FREE_SHARE = 2;

    /**
     * Runners that are drawn by lot beside those that hold something of the prompt. Nodes see each other's requests late;
     * where each compares all runners, all take the same one until they hear of it, and fill it while others stand idle.
     * Of 57 nodes before 31 engines of six slots in the model of {@code bin/bench decisions --fleet large}, in a burst of
     * 1.8 times the usual rate, worth was 0.759 with all compared, 0.826 with eight drawn, 0.914 with four and 0.975 with
     * two; of seven nodes before six engines it is the same either way.
     */
    static final int DRAWN = 2;

    private RunnerChoice() {}

    /**
     * Chooses a runner.
     *
     * @param candidates runners of the service that may get new requests
     * @param usualMissing tokens that a usual request of the service has to read; 0 where there are no prompts
     * @param anywhere whether the request has waited nearly as long as it may, so that any runner with room will do
     * @param random breaks ties
     * @return the runner; empty if none has room, or if it is better to wait for one that has none
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates, double usualMissing, boolean anywhere, RandomGenerator random) {
        return choose(candidates, usualMissing, anywhere, DRAWN, random);
    }

    /**
     * Chooses a runner among those that hold something of the prompt, and a few others that are drawn by lot.
     *
     * @param candidates runners of the service that may get new requests
     * @param usualMissing tokens that a usual request of the service has to read; 0 where there are no prompts
     * @param anywhere whether the request has waited nearly as long as it may, so that any runner with room will do
     * @param drawn how many runners that hold nothing are drawn; 0 for all
     * @param random breaks ties
     * @return the runner; empty if none has room, or if it is better to wait for one that has none
     */
    public static Optional<Candidate> choose(
            List<Candidate> candidates, double usualMissing, boolean anywhere, int drawn, RandomGenerator random) {
        // Near the end of its wait a request takes any place there is; one with a full draw would be refused.
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
        // Plain requests stay near while there are places; drawn among all they would rarely meet a near runner.
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
                // When all have failed, one of them must be tried: leaving a whole service alone serves nobody.
                .filter(each -> !anyHealthy || !each.suspended())
                .filter(each -> !anywhere || each.load() < each.maxLoad(prompted))
                .map(each -> new Drawn(each, cost(each, largest, usualMissing), random.nextDouble()))
                .min(Comparator.comparingDouble(Drawn::cost)
                        .thenComparing(each -> !each.candidate().sameZone())
                        .thenComparingDouble(Drawn::lot))
                .map(Drawn::candidate)
                .filter(each -> each.load() < each.maxLoad(prompted));
    }

    /** In tokens that somebody waits for to be read; in requests where there are no prompts. */
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
