package org.parsleydrift.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleydrift.registry.Runner;

/**
 * Metrics of the relay: request counters by outcome and cause, counters of resumed streams by result and of attempts that
 * runners did not finish by service, counters of irregular responses by kind, timers of the phases of a request, and the
 * runners that accept requests by service and software version.
 */
final class RelayMetrics {
    private final MeterRegistry registry;
    private final Map<String, Counter> outcomes = new HashMap<>();
    private final Map<String, Counter> resumptions = new HashMap<>();
    private final Map<String, Counter> unfinishedAttempts = new HashMap<>();
    private final Map<IrregularResponse, Counter> irregularResponses = new EnumMap<>(IrregularResponse.class);
    private final Map<String, Timer> phases = new HashMap<>();
    private final MultiGauge runnersByVersion;
    private Map<Tags, Long> recordedRunners = Map.of();

    RelayMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.runnersByVersion = MultiGauge.builder("parsleydrift.runners").register(registry);
    }

    void recordRunners(List<Runner> runners) {
        Map<Tags, Long> counts = runners.stream()
                .filter(each -> !each.draining())
                .collect(Collectors.groupingBy(
                        each -> Tags.of("service", each.service(), "version", each.softwareVersion()),
                        Collectors.counting()));
        if (!counts.equals(recordedRunners)) {
            recordedRunners = counts;
            runnersByVersion.register(
                    counts.entrySet().stream()
                            .map(each -> MultiGauge.Row.of(each.getKey(), each.getValue()))
                            .toList(),
                    true);
        }
    }

    void recordOutcome(String outcome, String cause) {
        outcomes.computeIfAbsent(
                        outcome + '/' + cause,
                        any -> Counter.builder("parsleydrift.requests")
                                .tag("outcome", outcome)
                                .tag("cause", cause)
                                .register(registry))
                .increment();
    }

    void recordResumption(String result) {
        resumptions
                .computeIfAbsent(
                        result,
                        any -> Counter.builder("parsleydrift.streams.resumed")
                                .tag("result", result)
                                .register(registry))
                .increment();
    }

    /** Counts a connection to a runner that was lost under a request. */
    void recordRunnerLost(String service) {
        countRunner("lost", service);
    }

    /** Counts an attempt that was cancelled before the end of the response. */
    void recordRunnerSilent(String service) {
        countRunner("silent", service);
    }

    /** Counts a response that broke off or was unusable, though its connection was not lost. */
    void recordRunnerBroken(String service) {
        countRunner("broken", service);
    }

    /** Counts bytes of a runner that are not the whole response to its connection's request. */
    void recordIrregularResponse(IrregularResponse kind) {
        irregularResponses
                .computeIfAbsent(
                        kind,
                        any -> Counter.builder("parsleydrift.responses.irregular")
                                .tag("kind", kind.label())
                                .register(registry))
                .increment();
    }

    private void countRunner(String event, String service) {
        unfinishedAttempts
                .computeIfAbsent(
                        event + '/' + service,
                        any -> Counter.builder("parsleydrift.runners." + event)
                                .tag("service", service)
                                .register(registry))
                .increment();
    }

    void recordPhase(String phase, Duration time) {
        phases.computeIfAbsent(
                        phase,
                        any -> Timer.builder("parsleydrift.phase")
                                .tag("phase", phase)
                                .publishPercentileHistogram()
                                .register(registry))
                .record(time);
    }
}
