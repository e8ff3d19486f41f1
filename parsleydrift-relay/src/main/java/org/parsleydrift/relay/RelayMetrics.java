package org.parsleydrift.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Metrics of the relay: request counters by outcome and cause, and timers of the phases of a request. */
final class RelayMetrics {
    private final MeterRegistry registry;
    private final Map<String, Counter> outcomes = new HashMap<>();
    private final Map<String, Timer> phases = new HashMap<>();

    RelayMetrics(MeterRegistry registry) {
        this.registry = registry;
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
