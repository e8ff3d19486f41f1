package org.parsleydrift.node.call;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.manifest.OperationSpec;
import org.parsleydrift.node.NodeEnvironment;
import org.parsleydrift.program.CallOutcome;

/**
 * Calls tools and services, with a concurrency limit, a timeout and a number of attempts for each operation. Confined
 * to the node's event loop.
 *
 * <p>A non-repeatable call is retried only if the previous attempt certainly did not run: no connection was made, or
 * the upstream refused it. After any other failure its outcome is unknown and it is not sent again.
 */
public final class CallExecutor {
    private static final Logger LOG = System.getLogger(CallExecutor.class.getName());
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    /** An upstream that announced its shutdown may have been restarted by then. */
    private static final Duration LEAVING_RETRY_DELAY = Duration.ofSeconds(5);

    private static final int QUEUED_CALLS_PER_SLOT = 8;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Deque<Runnable>> queues = new HashMap<>();
    private final Map<String, Long> leavingUntilNanos = new HashMap<>();

    /**
     * Creates an executor.
     *
     * @param environment event loop, clients and random source
     */
    public CallExecutor(NodeEnvironment environment) {
        this.environment = environment;
        this.loop = environment.loop();
    }

    /**
     * Records whether an upstream is leaving. Leaving upstreams are used only if all upstreams of an operation are.
     *
     * @param address address of the upstream
     * @param isLeaving whether it is leaving
     */
    public void setLeaving(String address, boolean isLeaving) {
        if (isLeaving) {
            leavingUntilNanos.put(address, Long.MAX_VALUE);
        } else {
            leavingUntilNanos.remove(address);
        }
    }

    /**
     * Makes a call, after waiting for a free slot of the operation if needed.
     *
     * @param spec limits, timeout and upstreams of the operation
     * @param request the call
     * @param gate permits or denies each attempt
     * @return the result, {@link CallOutcome#NOT_RUN} if too many calls are queued; completes on the event loop, never
     *     exceptionally
     */
    public CompletableFuture<CallResult> execute(OperationSpec spec, CallRequest request, EffectGate gate) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        String operation = request.operation();
        Runnable start = () -> {
            running.merge(operation, 1, Integer::sum);
            startAttempt(new Attempt(spec, request, gate, 1), result);
        };
        if (running.getOrDefault(operation, 0) < spec.concurrency()) {
            start.run();
        } else {
            Deque<Runnable> queue = queues.computeIfAbsent(operation, any -> new ArrayDeque<>());
            if (queue.size() >= spec.concurrency() * QUEUED_CALLS_PER_SLOT) {
                return CompletableFuture.completedFuture(new CallResult(CallOutcome.NOT_RUN, "too many calls wait"));
            }
            queue.add(start);
        }
        return result;
    }

    private void startAttempt(Attempt attempt, CompletableFuture<CallResult> result) {
        attempt.gate()
                .pass(
                        () -> send(attempt, result),
                        () -> finish(
                                attempt.request(), new CallResult(CallOutcome.NOT_RUN, "no longer the owner"), result));
    }

    private void send(Attempt attempt, CompletableFuture<CallResult> result) {
        OperationSpec spec = attempt.spec();
        CallRequest request = attempt.request();
        int number = attempt.number();
        long now = loop.clock().nanos();
        leavingUntilNanos.values().removeIf(until -> until < now);
        List<String> usable = spec.upstreams().stream()
                .filter(address -> !leavingUntilNanos.containsKey(address))
                .toList();
        List<String> candidates = usable.isEmpty() ? spec.upstreams() : usable;
        String upstream = candidates.get(Math.floorMod(environment.random().nextInt() + number, candidates.size()));
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("routing")
                        .with("call", request.callId())
                        .with("operation", request.operation())
                        .with("upstream", upstream)
                        .with("attempt", number)
                        .with("candidates", candidates.size())
                        .toString());
        environment
                .calls()
                .call(upstream, request, spec.timeout())
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure == null) {
                                finish(request, new CallResult(CallOutcome.OK, answer), result);
                            } else {
                                handleFailure(attempt, failure, result);
                            }
                        },
                        loop);
    }

    private void handleFailure(Attempt attempt, Throwable failure, CompletableFuture<CallResult> result) {
        OperationSpec spec = attempt.spec();
        CallRequest request = attempt.request();
        int number = attempt.number();
        CallFailure kind = CallException.of(failure);
        LOG.log(
                Logger.Level.WARNING,
                LogLine.of("call_failed")
                        .with("call", request.callId())
                        .with("attempt", number)
                        .with("kind", kind)
                        .failure(failure)
                        .toString());
        if (StepException.unwrap(failure) instanceof CallException exception && exception.isLeaving()) {
            leavingUntilNanos.put(exception.peer(), loop.clock().nanos() + LEAVING_RETRY_DELAY.toNanos());
        }
        boolean retry = kind == CallFailure.NOT_RUN || (kind == CallFailure.UNKNOWN && spec.repeatable());
        if (retry && number < spec.attempts()) {
            loop.schedule(INITIAL_BACKOFF.multipliedBy(1L << (number - 1)), () -> startAttempt(attempt.next(), result));
            return;
        }
        CallOutcome outcome = switch (kind) {
            case NOT_RUN -> CallOutcome.NOT_RUN;
            case FAILED -> CallOutcome.FAILED;
            case UNKNOWN -> CallOutcome.OUTCOME_UNKNOWN;
        };
        finish(
                request,
                new CallResult(
                        outcome, String.valueOf(StepException.unwrap(failure).getMessage())),
                result);
    }

    private void finish(CallRequest request, CallResult value, CompletableFuture<CallResult> result) {
        running.merge(request.operation(), -1, Integer::sum);
        Deque<Runnable> queue = queues.get(request.operation());
        if (queue != null && !queue.isEmpty()) {
            queue.poll().run();
        }
        result.complete(value);
    }

    /** One attempt of a call, numbered from 1. */
    private record Attempt(OperationSpec spec, CallRequest request, EffectGate gate, int number) {
        private Attempt next() {
            return new Attempt(spec, request, gate, number + 1);
        }
    }
}
