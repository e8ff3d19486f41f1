package org.parsleydrift.placement.speed;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;

/**
 * The speeds of runners, learned from the responses that pass this node and from the sums of its peers. A runner's
 * factor is the ratio of its times to those of a typical runner of its service. It is 1.0 unless it differs by more
 * than the spread of single responses explains, so that services with equal runners are placed by load alone.
 *
 * <p>Not thread-safe; confined to one event loop. Callers pass the time.
 */
public final class RunnerSpeeds {
    private static final Logger LOG = System.getLogger(RunnerSpeeds.class.getName());

    /** Limits of a factor; beyond them a runner is avoided or preferred for other reasons than its speed. */
    static final double MIN_FACTOR = 0.4;

    static final double MAX_FACTOR = 4;

    /** Interval at which the factors of a service are computed again, ns; peers report less often than this. */
    static final long REFRESH_NANOS = 50_000_000L;
    /** Runners in an export, to bound the size of a status frame. */
    static final int MAX_EXPORTED = 256;

    /** Standard errors that a difference must exceed; a smaller number is often exceeded by one of 30 equal runners. */
    private static final double SIGNIFICANT_ERRORS = 4;
    /** Smallest difference that counts, as logarithm (1.35): uneven load causes smaller ones between equal runners. */
    private static final double MIN_DIFFERENCE = 0.3;
    /**
     * Smallest difference of an unfinished response that counts, as logarithm (8). Its request may wait behind others
     * whose load this node has not heard of yet, which takes up to a few times the typical time.
     */
    private static final double MIN_SILENCE = Math.log(8);
    /** Part of the threshold by which a difference must exceed it to count in full; smaller ones count in part. */
    private static final double RAMP = 0.5;
    /** Aged observations from which on a runner takes part in determining what is typical. */
    private static final double MIN_WEIGHT = 1;
    /** Change of a factor that is logged, as ratio. */
    private static final double LOGGED_RATIO = 1.5;

    private final BooleanSupplier enabled;
    private final Map<String, ServiceSpeeds> services = new HashMap<>();
    private final Map<String, SpeedEstimate> estimates = new HashMap<>();
    private final Map<String, Set<RunnerObservation>> open = new HashMap<>();
    private final Map<String, Long> keys = new HashMap<>();
    private final Map<String, Long> refreshedNanos = new HashMap<>();
    private final Map<String, Double> factors = new HashMap<>();
    private final Map<String, Double> loggedFactors = new HashMap<>();
    private final PeerSpeeds peers = new PeerSpeeds();

    /** The merged mean of a runner's observations. */
    private record Merged(Runner runner, double weight, double logFactor) {}

    /**
     * Creates an instance without observations.
     *
     * @param enabled whether speeds are learned and used; if not, all factors are 1.0 and nothing is recorded
     */
    public RunnerSpeeds(BooleanSupplier enabled) {
        this.enabled = enabled;
    }

    /**
     * Begins the observation of a request that is sent to a runner.
     *
     * @param runner the runner
     * @param streaming whether the response is a stream of events
     * @param uncachedTokens tokens of the prompt that the runner has not cached; 0 without a prompt
     * @param load other requests at the runner at its assignment
     * @param nowNanos monotonic time, ns
     * @return the observation, to be ended with one of its methods
     */
    public RunnerObservation begin(Runner runner, boolean streaming, int uncachedTokens, int load, long nowNanos) {
        RunnerObservation observation = new RunnerObservation(this, runner, streaming, uncachedTokens, load, nowNanos);
        if (enabled.getAsBoolean()) {
            open.computeIfAbsent(runner.incarnation(), any -> new LinkedHashSet<>())
                    .add(observation);
        }
        return observation;
    }

    /**
     * Computes the factors of a service's runners again if they are not recent.
     *
     * @param service name of the service
     * @param runners its runners that accept requests
     * @param nowNanos monotonic time, ns
     */
    public void refresh(String service, List<Runner> runners, long nowNanos) {
        Long last = refreshedNanos.get(service);
        if (!enabled.getAsBoolean()) {
            factors.clear();
        } else if (last == null || nowNanos - last >= REFRESH_NANOS) {
            refreshedNanos.put(service, nowNanos);
            computeFactors(service, runners, nowNanos);
        }
    }

    /**
     * Returns the time factor of a runner as of the last refresh.
     *
     * @param runner the runner
     * @return ratio of its times to those of a typical runner of its service, from 0.4 to 4; 1.0 if unknown
     */
    public double factor(Runner runner) {
        return factors.getOrDefault(runner.incarnation(), 1.0);
    }

    /**
     * Returns the typical time of a turn after its first event, in uncached prompt tokens that a runner computes in it.
     *
     * @param service name of the service
     * @return tokens; 0 if unknown
     */
    public double generationTokens(String service) {
        ServiceSpeeds known = services.get(service);
        return known == null || !enabled.getAsBoolean()
                ? 0
                : known.generationTokens().orElse(0);
    }

    /**
     * Returns the time after which an idempotent call without a response is sent to a second runner.
     *
     * @param service name of the service
     * @param target target latency of the route, which applies while nothing is learned
     * @return the 95th percentile of the response times of the service's plain calls, else the target
     */
    public Duration retryDelay(String service, Duration target) {
        return enabled.getAsBoolean()
                ? Optional.ofNullable(services.get(service))
                        .flatMap(ServiceSpeeds::latencyPercentile)
                        .orElse(target)
                : target;
    }

    /**
     * Returns what this node has learned itself, for its peers. It contains nothing that peers have reported.
     *
     * @param nowNanos monotonic time, ns
     * @return sums by the {@link RunnerKey} of the incarnation; of more than 256 runners those with the largest counts
     */
    public Map<Long, SpeedSum> export(long nowNanos) {
        if (!enabled.getAsBoolean()) {
            return Map.of();
        }
        return estimates.entrySet().stream()
                .map(each -> Map.entry(key(each.getKey()), sum(each.getKey(), each.getValue(), nowNanos)))
                .filter(each -> each.getValue().isValid())
                .sorted(Comparator.comparingInt(each -> -each.getValue().count()))
                .limit(MAX_EXPORTED)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Replaces what peers have reported. Invalid sums are ignored and logged.
     *
     * @param sums for each node or zone, its latest sums by the {@link RunnerKey} of the incarnation; empty for one that
     *     is gone
     */
    public void updatePeers(Map<String, Map<Long, SpeedSum>> sums) {
        sums.forEach(peers::update);
    }

    /**
     * Drops the state of runners that are gone.
     *
     * @param incarnations ids of the incarnations to retain
     */
    public void retainRunners(Set<String> incarnations) {
        estimates.keySet().retainAll(incarnations);
        factors.keySet().retainAll(incarnations);
        loggedFactors.keySet().retainAll(incarnations);
        keys.keySet().retainAll(incarnations);
    }

    void recordComplete(RunnerObservation observation, long nowNanos) {
        if (enabled.getAsBoolean()) {
            service(observation)
                    .recordComplete(observation, factor(observation.runner()), nowNanos)
                    .forEach(each -> record(observation, each, nowNanos));
        }
    }

    void recordFailure(RunnerObservation observation, long nowNanos) {
        if (enabled.getAsBoolean()) {
            service(observation)
                    .recordFailure(observation, nowNanos)
                    .ifPresent(each -> record(observation, each, nowNanos));
        }
    }

    void close(RunnerObservation observation) {
        open.computeIfPresent(observation.runner().incarnation(), (same, observations) -> {
            observations.remove(observation);
            return observations.isEmpty() ? null : observations;
        });
    }

    private ServiceSpeeds service(RunnerObservation observation) {
        return services.computeIfAbsent(observation.runner().service(), any -> new ServiceSpeeds());
    }

    private void record(RunnerObservation observation, ServiceSpeeds.Sample sample, long nowNanos) {
        ServiceSpeeds service = service(observation);
        Merged merged = merged(observation.runner(), nowNanos);
        service.recordResidual(sample.logFactor() - merged.logFactor(), sample.weight());
        estimates
                .computeIfAbsent(observation.runner().incarnation(), any -> new SpeedEstimate())
                .add(sample.logFactor(), sample.weight(), service.spread(), nowNanos);
    }

    private void computeFactors(String service, List<Runner> runners, long nowNanos) {
        ServiceSpeeds speeds = services.computeIfAbsent(service, any -> new ServiceSpeeds());
        List<Merged> merged =
                runners.stream().map(each -> merged(each, nowNanos)).toList();
        double typical = median(merged.stream()
                .filter(each -> each.weight() >= MIN_WEIGHT)
                .mapToDouble(Merged::logFactor)
                .toArray());
        merged.forEach(each -> {
            double learned = significant(
                    each.logFactor() - typical, Math.max(MIN_DIFFERENCE, speeds.spread() * spreads(each.weight())));
            double logFactor =
                    silence(each.runner().incarnation(), nowNanos).stream().reduce(learned, Math::max);
            double factor = Math.clamp(Math.exp(logFactor), MIN_FACTOR, MAX_FACTOR);
            factors.put(each.runner().incarnation(), factor);
            logChange(each, factor);
        });
    }

    /** Returns the logarithm of the longest silence of an open request, relative to the typical one, if significant. */
    private OptionalDouble silence(String incarnation, long nowNanos) {
        return open.getOrDefault(incarnation, Set.of()).stream()
                .flatMapToDouble(each -> {
                    ServiceSpeeds service = service(each);
                    return service.silenceLogFactor(each, nowNanos).stream()
                            .map(log -> significant(log, Math.max(MIN_SILENCE, SIGNIFICANT_ERRORS * service.spread())));
                })
                .filter(each -> each > 0)
                .max();
    }

    /** Returns 0 for a difference within the threshold, then a growing part of it, and finally all of it. */
    private static double significant(double difference, double threshold) {
        return difference * Math.clamp((Math.abs(difference) / threshold - 1) / RAMP, 0, 1);
    }

    /**
     * Returns the number of spreads that a difference must exceed: several standard errors, and with many observations
     * still one spread, since uneven load delays all requests at a runner alike.
     */
    private static double spreads(double weight) {
        return Math.max(1, SIGNIFICANT_ERRORS / Math.sqrt(weight));
    }

    private SpeedSum sum(String incarnation, SpeedEstimate estimate, long nowNanos) {
        double weight = estimate.weight(nowNanos);
        double sum = estimate.sum(nowNanos);
        OptionalDouble silence = silence(incarnation, nowNanos);
        double allWeight = weight + (silence.isPresent() ? 1 : 0);
        double mean = (sum + SpeedEstimate.limit(silence.orElse(0))) / Math.max(Double.MIN_NORMAL, allWeight);
        return new SpeedSum((int) Math.round(allWeight * SpeedSum.COUNTS_PER_OBSERVATION), Math.exp(mean));
    }

    private Merged merged(Runner runner, long nowNanos) {
        SpeedEstimate own = estimates.get(runner.incarnation());
        PeerSpeeds.Total others = peers.total(key(runner.incarnation()));
        double weight = others.weight() + (own == null ? 0 : own.weight(nowNanos));
        double sum = others.sum() + (own == null ? 0 : own.sum(nowNanos));
        return new Merged(runner, weight, weight == 0 ? 0 : sum / weight);
    }

    private long key(String incarnation) {
        return keys.computeIfAbsent(incarnation, RunnerKey::of);
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        int middle = values.length / 2;
        return values.length == 0
                ? 0
                : values.length % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    }

    private void logChange(Merged merged, double factor) {
        String incarnation = merged.runner().incarnation();
        double last = loggedFactors.getOrDefault(incarnation, 1.0);
        if (factor >= last * LOGGED_RATIO || factor <= last / LOGGED_RATIO) {
            loggedFactors.put(incarnation, factor);
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("runner_speed")
                            .with("runner", incarnation)
                            .with("service", merged.runner().service())
                            .with("factor", Math.round(factor * 100) / 100.0)
                            .with("before", Math.round(last * 100) / 100.0)
                            .with("observations", Math.round(merged.weight() * 10) / 10.0)
                            .toString());
        }
    }
}
