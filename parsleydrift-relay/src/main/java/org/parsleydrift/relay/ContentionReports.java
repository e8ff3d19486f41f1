package org.parsleydrift.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.admission.Admission;
import org.parsleydrift.placement.admission.AdmissionRequest;
import org.parsleydrift.placement.admission.ServiceState;

/** Log lines and metrics of the control of contended services. */
final class ContentionReports {
    private static final Logger LOG = System.getLogger(ContentionReports.class.getName());
    /** Time without waiting requests after which contention has ended; shorter pauses belong to one burst. */
    private static final Duration QUIET_TIME = Duration.ofSeconds(1);
    /** Maximum number of gauges of one kind, 64 services of 8 ranks; bounds the memory of the metrics. */
    private static final int MAX_GAUGES = 512;

    private final MeterRegistry registry;
    private final Map<Key, AtomicInteger> waiting = new HashMap<>();
    private final Map<Key, AtomicInteger> running = new HashMap<>();
    private final Map<Admission.Reason, Counter> refusals = new HashMap<>();
    private final Map<String, Long> contendedNanos = new HashMap<>();
    private final Timer predictedWait;
    private final Timer actualWait;

    private record Key(String service, int rank) {}

    ContentionReports(MeterRegistry registry) {
        this.registry = registry;
        this.predictedWait = waitTimer("predicted");
        this.actualWait = waitTimer("actual");
    }

    private Timer waitTimer(String kind) {
        return Timer.builder("parsleydrift.admission.wait")
                .tag("kind", kind)
                .publishPercentileHistogram()
                .register(registry);
    }

    /** Changes the number of requests that wait at this node. */
    void addWaiting(String service, int rank, int change) {
        add("parsleydrift.admission.waiting", waiting, service, rank, change);
    }

    /** Changes the number of slots that requests of this node use. */
    void addRunning(String service, int rank, int change) {
        add("parsleydrift.admission.slots", running, service, rank, change);
    }

    private void add(String name, Map<Key, AtomicInteger> gauges, String service, int rank, int change) {
        Key key = new Key(service, rank);
        if (!gauges.containsKey(key) && gauges.size() < MAX_GAUGES) {
            AtomicInteger value = new AtomicInteger();
            gauges.put(key, value);
            Gauge.builder(name, value, AtomicInteger::get)
                    .tag("service", service)
                    .tag("rank", String.valueOf(rank))
                    .register(registry);
        }
        AtomicInteger value = gauges.get(key);
        if (value != null) {
            value.addAndGet(change);
        }
    }

    void recordPredictedWait(Duration wait) {
        predictedWait.record(wait);
    }

    void recordActualWait(Duration wait) {
        actualWait.record(wait);
    }

    /** Returns the name of the reason of a rejection, in logs and metrics. */
    String name(Admission.Refuse refusal) {
        return name(refusal.reason());
    }

    private static String name(Admission.Reason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    void recordRefusal(QueuedRequest request, Admission.Refuse refusal, ServiceState state) {
        refusals.computeIfAbsent(
                        refusal.reason(),
                        reason -> Counter.builder("parsleydrift.admission.refused")
                                .tag("reason", name(reason))
                                .register(registry))
                .increment();
        RequestFacts facts = request.facts();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("admission_refused")
                        .with("request", facts.id())
                        .with("program", facts.program())
                        .with("service", request.service())
                        .with("rank", request.priority())
                        .with("reason", name(refusal.reason()))
                        .with("predicted_ms", refusal.predictedWait().toMillis())
                        .with("slack_ms", refusal.slack().toMillis())
                        .with("backlog", state.waitingUpTo(request.priority()))
                        .with("rate", Math.round(state.slotsPerSecond()))
                        .with("retry_after_ms", refusal.retryAfter().toMillis())
                        .toString());
    }

    void recordReturn(QueuedRequest request, AdmissionRequest asked) {
        RequestFacts facts = request.facts();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("returned_in_slot")
                        .with("request", facts.id())
                        .with("program", facts.program())
                        .with("service", asked.service())
                        .with("rank", asked.rank())
                        .toString());
    }

    /** Logs the beginning and the end of contention for a service: requests wait, or all slots are used. */
    void recordState(String service, ServiceState state, long nowNanos) {
        if (state.anyWaiting() || state.load() >= state.slots()) {
            if (contendedNanos.put(service, nowNanos) == null) {
                log("contention_begun", service, state);
            }
        } else if (contendedNanos.containsKey(service)
                && nowNanos - contendedNanos.get(service) > QUIET_TIME.toNanos()) {
            contendedNanos.remove(service);
            log("contention_ended", service, state);
        }
    }

    private static void log(String event, String service, ServiceState state) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of(event)
                        .with("service", service)
                        .with("load", state.load())
                        .with("slots", state.slots())
                        .toString());
    }
}
