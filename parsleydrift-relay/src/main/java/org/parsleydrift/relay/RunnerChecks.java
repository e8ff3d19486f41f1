package org.parsleydrift.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;
import org.parsleydrift.registry.UpstreamService;

/**
 * Health checks of runners that may have ended, at most one at a time for each runner. Runners are not checked otherwise:
 * their requests show how they are. Confined to the event loop.
 */
final class RunnerChecks {
    private static final Logger LOG = System.getLogger(RunnerChecks.class.getName());
    /** Time within which requests for limited work do not lead to another check of the same runner. */
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);
    /** Maximum number of runners whose latest check is remembered. */
    private static final int MAX_RUNNERS = 4096;

    private final EventLoop loop;
    private final RunnerProbe probe;
    private final Registry registry;
    private final Consumer<Runner> unreachableListener;
    private final MeterRegistry meters;
    /** Receivers of the results of the checks under way, by incarnation. */
    private final Map<String, Consumer<ProbeResult>> underWay = new HashMap<>();
    /** Times of the latest checks, ns, by key of the runner, the latest one last. */
    private final Map<Long, Long> checked = new LinkedHashMap<>();

    /**
     * Creates the checks.
     *
     * @param loop the event loop
     * @param probe performs a check
     * @param registry source of the runners and of the paths of their health checks
     * @param unreachableListener receives the runners at whose address another process or none answers
     * @param meters registry for the number of checks by result
     */
    RunnerChecks(
            EventLoop loop,
            RunnerProbe probe,
            Registry registry,
            Consumer<Runner> unreachableListener,
            MeterRegistry meters) {
        this.loop = loop;
        this.probe = probe;
        this.registry = registry;
        this.unreachableListener = unreachableListener;
        this.meters = meters;
    }

    /**
     * Checks a runner, unless a check of it is under way, whose receiver then gets the result.
     *
     * @param runner the runner
     * @param receiver receives the result
     */
    void check(Runner runner, Consumer<ProbeResult> receiver) {
        if (underWay.putIfAbsent(runner.incarnation(), receiver) != null) {
            return;
        }
        recordChecked(RunnerKey.of(runner.incarnation()));
        String healthPath = registry.manifest()
                .flatMap(each -> each.service(runner.service()))
                .map(UpstreamService::healthPath)
                .orElse("");
        long startNanos = loop.clock().nanos();
        probe.check(runner, healthPath)
                .thenAccept(result -> loop.execute(() -> handleResult(runner, result, startNanos)));
    }

    /**
     * Checks a runner unless it was checked shortly before.
     *
     * @param runner the runner
     * @param receiver receives the result
     * @return whether a check is under way
     */
    boolean checkIfDue(Runner runner, Consumer<ProbeResult> receiver) {
        Long lastNanos = checked.get(RunnerKey.of(runner.incarnation()));
        if (lastNanos == null || loop.clock().nanos() - lastNanos > MIN_INTERVAL.toNanos()) {
            check(runner, receiver);
        }
        return underWay.containsKey(runner.incarnation());
    }

    private void recordChecked(long key) {
        checked.remove(key);
        checked.put(key, loop.clock().nanos());
        if (checked.size() > MAX_RUNNERS) {
            checked.remove(checked.keySet().iterator().next());
        }
    }

    private void handleResult(Runner runner, ProbeResult result, long startNanos) {
        Consumer<ProbeResult> receiver = underWay.remove(runner.incarnation());
        String name = nameOf(result);
        Counter.builder("parsleydrift.runner.checks")
                .tag("result", name)
                .register(meters)
                .increment();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("runner_checked")
                        .with("runner", runner.incarnation())
                        .with("service", runner.service())
                        .with("result", name)
                        .with("ms", (loop.clock().nanos() - startNanos) / 1_000_000)
                        .toString());
        if (result instanceof ProbeResult.Unreachable || result instanceof ProbeResult.Replaced) {
            unreachableListener.accept(runner);
        }
        receiver.accept(result);
    }

    private static String nameOf(ProbeResult result) {
        return switch (result) {
            case ProbeResult.Answered ignored -> "answered";
            case ProbeResult.Unreachable ignored -> "unreachable";
            case ProbeResult.Replaced ignored -> "replaced";
            case ProbeResult.Unanswered ignored -> "unanswered";
        };
    }
}
