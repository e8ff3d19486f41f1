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
 * Makes calls of tools and plain services: a limit per operation, timeouts, and attempts as the operation allows.
 * Confined to the node's loop.
 *
 * <p>A non-repeatable call is tried again only if the attempt before did not run: no connection was made, or the
 * upstream says so. After anything else its outcome is unknown and it is not sent again.
 */
public final class CallRunner {
    private static final Logger LOG = System.getLogger(CallRunner.class.getName());
    private static final Duration BACKOFF = Duration.ofMillis(100);
    /** An upstream that says itself that it is leaving may have been restarted; after this time it is tried again. */
    private static final Duration BELIEVE_REFUSAL = Duration.ofSeconds(5);

    private static final int QUEUE_FACTOR = 8;

    private final NodeEnvironment environment;
    private final EventLoop loop;
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Deque<Runnable>> queues = new HashMap<>();
    private final Map<String, Long> leaving = new HashMap<>();

    /**
     * Makes a runner of calls.
     *
     * @param environment the outside
     */
    public CallRunner(NodeEnvironment environment) {
        this.environment = environment;
        this.loop = environment.loop();
    }

    /**
     * Notes that an upstream is leaving, or is not.
     *
     * @param address the upstream
     * @param now whether it is leaving
     */
    public void leaving(String address, boolean now) {
        if (now) {
            leaving.put(address, Long.MAX_VALUE);
        } else {
            leaving.remove(address);
        }
    }

    /**
     * Makes a call.
     *
     * @param spec the operation
     * @param request the call
     * @param gate stands before each attempt
     * @return how it ended; completes on the node's loop and never fails
     */
    public CompletableFuture<CallEnd> run(OperationSpec spec, CallRequest request, EffectGate gate) {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        String operation = request.operation();
        Runnable start = () -> {
            running.merge(operation, 1, Integer::sum);
            tryOnce(new Attempt(spec, request, gate, 1), end);
        };
        if (running.getOrDefault(operation, 0) < spec.concurrency()) {
            start.run();
        } else {
            Deque<Runnable> queue = queues.computeIfAbsent(operation, any -> new ArrayDeque<>());
            if (queue.size() >= spec.concurrency() * QUEUE_FACTOR) {
                return CompletableFuture.completedFuture(new CallEnd(CallOutcome.NOT_RUN, "too many calls wait"));
            }
            queue.add(start);
        }
        return end;
    }

    private void tryOnce(Attempt attempt, CompletableFuture<CallEnd> end) {
        attempt.gate()
                .pass(
                        () -> send(attempt, end),
                        () -> finish(attempt.request(), new CallEnd(CallOutcome.NOT_RUN, "no longer the owner"), end));
    }

    private void send(Attempt attempt, CompletableFuture<CallEnd> end) {
        OperationSpec spec = attempt.spec();
        CallRequest request = attempt.request();
        int number = attempt.number();
        long now = loop.clock().nanos();
        leaving.values().removeIf(until -> until < now);
        List<String> usable = spec.upstreams().stream()
                .filter(address -> !leaving.containsKey(address))
                .toList();
        List<String> from = usable.isEmpty() ? spec.upstreams() : usable;
        String upstream = from.get(Math.floorMod(environment.random().nextInt() + number, from.size()));
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("routing")
                        .with("call", request.callId())
                        .with("operation", request.operation())
                        .with("upstream", upstream)
                        .with("attempt", number)
                        .with("candidates", from.size())
                        .toString());
        environment
                .calls()
                .call(upstream, request, spec.timeout())
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure == null) {
                                finish(request, new CallEnd(CallOutcome.OK, answer), end);
                            } else {
                                failed(attempt, failure, end);
                            }
                        },
                        loop);
    }

    private void failed(Attempt attempt, Throwable failure, CompletableFuture<CallEnd> end) {
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
        if (StepException.unwrap(failure) instanceof CallException known && known.isLeaving()) {
            leaving.put(known.peer(), loop.clock().nanos() + BELIEVE_REFUSAL.toNanos());
        }
        boolean again = kind == CallFailure.NOT_RUN || (kind == CallFailure.UNKNOWN && spec.repeatable());
        if (again && number < spec.attempts()) {
            loop.schedule(BACKOFF.multipliedBy(1L << (number - 1)), () -> tryOnce(attempt.next(), end));
            return;
        }
        CallOutcome outcome = switch (kind) {
            case NOT_RUN -> CallOutcome.NOT_RUN;
            case FAILED -> CallOutcome.FAILED;
            case UNKNOWN -> CallOutcome.OUTCOME_UNKNOWN;
        };
        finish(
                request,
                new CallEnd(
                        outcome, String.valueOf(StepException.unwrap(failure).getMessage())),
                end);
    }

    private void finish(CallRequest request, CallEnd result, CompletableFuture<CallEnd> end) {
        running.merge(request.operation(), -1, Integer::sum);
        Deque<Runnable> queue = queues.get(request.operation());
        if (queue != null && !queue.isEmpty()) {
            queue.poll().run();
        }
        end.complete(result);
    }

    /** An attempt of a call. */
    private record Attempt(OperationSpec spec, CallRequest request, EffectGate gate, int number) {
        private Attempt next() {
            return new Attempt(spec, request, gate, number + 1);
        }
    }
}
