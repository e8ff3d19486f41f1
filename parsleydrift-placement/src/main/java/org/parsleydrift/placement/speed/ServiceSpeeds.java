package org.parsleydrift.placement.speed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;

/** The typical times of the requests of one service, and the spread of its runners' times around them. */
final class ServiceSpeeds {
    /** Weight of a turn's first event beside that of its generation, since other prompts delay it. */
    private static final double FIRST_EVENT_WEIGHT = 0.25;
    /** Spread assumed at first, as standard deviation of the logarithm; that of plain calls. */
    private static final double INITIAL_SPREAD = 0.6;
    /** Observations that the initial spread counts as. */
    private static final double INITIAL_SPREAD_WEIGHT = 10;
    /** Weight that earlier residuals keep with each new one: a memory of about 200 observations. */
    private static final double RETAINED = 0.995;
    /** Smallest spread, so that a few equal times are not taken for certainty. */
    private static final double MIN_SPREAD = 0.05;

    private final TimeModel firstEvent = new TimeModel();
    private final TimeModel perEvent = new TimeModel();
    private final TimeModel generation = new TimeModel();
    private final TimeModel plainCall = new TimeModel();
    private final LatencyWindow latencies = new LatencyWindow();
    private double residualWeight = INITIAL_SPREAD_WEIGHT;
    private double squaredResiduals = INITIAL_SPREAD_WEIGHT * INITIAL_SPREAD * INITIAL_SPREAD;

    /** The logarithm of an observed time factor, with its weight in observations. */
    record Sample(double logFactor, double weight) {}

    /**
     * Learns from a complete response.
     *
     * @param observation the times of the response
     * @param runnerFactor the learned factor of the runner, by which its times are converted to those of a typical one
     * @param nowNanos monotonic time, ns
     * @return the observed factors, by what was typical before; empty while that is unknown
     */
    List<Sample> recordComplete(RunnerObservation observation, double runnerFactor, long nowNanos) {
        if (!observation.streaming()) {
            latencies.addComplete(observation.silenceNanos(nowNanos));
            return learn(plainCall, 0, observation.silenceMillis(nowNanos), runnerFactor, 1)
                    .toList();
        }
        // The time to the first event includes the wait for a slot if there was none, which says nothing about speed.
        Stream<Sample> first = observation.events() > 0 && observation.foundFreeSlot()
                ? learn(
                        firstEvent,
                        observation.uncachedTokens(),
                        observation.millisToFirstEvent(),
                        runnerFactor,
                        FIRST_EVENT_WEIGHT)
                : Stream.empty();
        generation.add(0, observation.generationMillis() / runnerFactor);
        return Stream.concat(first, learn(perEvent, observation.load(), observation.medianGapMillis(), runnerFactor, 1))
                .toList();
    }

    /** Returns the observed factor of a response that failed or was cancelled, if it took longer than the spread explains. */
    Optional<Sample> recordFailure(RunnerObservation observation, long nowNanos) {
        OptionalDouble silence = silenceLogFactor(observation, nowNanos);
        if (silence.isEmpty() || silence.getAsDouble() <= spread()) {
            return Optional.empty();
        }
        if (!observation.streaming()) {
            latencies.addCancelled(observation.silenceNanos(nowNanos));
        }
        return Optional.of(new Sample(silence.getAsDouble(), 1));
    }

    /** Returns the logarithm of the ratio of the time that a request has been silent to the time that is typical. */
    OptionalDouble silenceLogFactor(RunnerObservation observation, long nowNanos) {
        TimeModel model = !observation.streaming() ? plainCall : observation.events() == 0 ? firstEvent : perEvent;
        boolean waitsForSlot = observation.streaming() && observation.events() == 0 && !observation.foundFreeSlot();
        double silentMillis = observation.silenceMillis(nowNanos);
        if (!model.isKnown() || waitsForSlot || silentMillis <= 0) {
            return OptionalDouble.empty();
        }
        double quantity = !observation.streaming()
                ? 0
                : observation.events() == 0 ? observation.uncachedTokens() : observation.load();
        return OptionalDouble.of(Math.log(silentMillis / model.predictMillis(quantity)));
    }

    /** Records the deviation of an observation from the mean of its runner. */
    void recordResidual(double residual, double weight) {
        double limited = SpeedEstimate.limit(residual);
        residualWeight = residualWeight * RETAINED + weight;
        squaredResiduals = squaredResiduals * RETAINED + weight * limited * limited;
    }

    /**
     * Returns the spread of single observations of a runner, as standard deviation of the logarithm. Stalled responses
     * raise it, so that engines delayed by uneven load are not taken for slow ones.
     */
    double spread() {
        return Math.max(MIN_SPREAD, Math.sqrt(squaredResiduals / residualWeight));
    }

    /** Returns the time of generation after the first event in uncached prompt tokens computed meanwhile, if known. */
    OptionalDouble generationTokens() {
        double millisPerToken = firstEvent.isKnown() ? firstEvent.millisPerUnit() : 0;
        return generation.isKnown() && millisPerToken > 0
                ? OptionalDouble.of(generation.predictMillis(0) / millisPerToken)
                : OptionalDouble.empty();
    }

    Optional<Duration> latencyPercentile() {
        return latencies.percentile();
    }

    private static Stream<Sample> learn(
            TimeModel model, double quantity, double millis, double runnerFactor, double weight) {
        if (millis <= 0) {
            return Stream.empty();
        }
        Stream<Sample> sample = model.isKnown()
                ? Stream.of(new Sample(Math.log(millis / model.predictMillis(quantity)), weight))
                : Stream.empty();
        model.add(quantity, millis / runnerFactor);
        return sample;
    }
}
