package org.parsleydrift.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.CallException;
import org.parsleydrift.kernel.upstream.CallFailure;
import org.parsleydrift.kernel.upstream.CallRequest;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.kernel.upstream.EngineMemory;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;

/** Simulated connections of one node to engines, tools and services. */
final class FleetUpstreams implements EngineClient, CallClient {
    private static final Duration DELAY = Duration.ofMillis(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(4);

    private final Fleet fleet;
    private final String vm;
    private final List<Stream> open = new ArrayList<>();

    FleetUpstreams(Fleet fleet, String vm) {
        this.fleet = fleet;
        this.vm = vm;
    }

    /** Closes all connections of a killed process; the engines cancel its turns. */
    void closeAll() {
        List.copyOf(open).forEach(Stream::cancel);
    }

    @Override
    public Cancellable runTurn(
            String runner, TurnRequest request, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
        Stream stream = new Stream(runner, tokens, done);
        open.add(stream);
        fleet.externalLoop().schedule(DELAY, () -> stream.begin(request));
        return stream::cancel;
    }

    @Override
    public CompletableFuture<Void> release(String runner, String owner) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (fleet.network().isReachable(vm, runner)) {
            fleet.externalLoop().schedule(DELAY, () -> {
                fleet.engines().get(runner).release(owner);
                done.complete(null);
            });
        }
        return done;
    }

    @Override
    public CompletableFuture<List<EngineMemory>> listMemory(String runner) {
        CompletableFuture<List<EngineMemory>> answer = new CompletableFuture<>();
        if (fleet.network().isReachable(vm, runner)) {
            fleet.externalLoop()
                    .schedule(
                            DELAY,
                            () -> answer.complete(fleet.engines().get(runner).memory()));
        }
        return answer;
    }

    @Override
    public CompletableFuture<String> call(String upstream, CallRequest request, Duration timeout) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        fleet.externalLoop()
                .schedule(
                        timeout,
                        () -> answer.completeExceptionally(
                                new CallException(Step.CALL, upstream, CallFailure.UNKNOWN, false, "no answer")));
        if (fleet.network().isReachable(vm, upstream)) {
            fleet.externalLoop()
                    .schedule(
                            DELAY,
                            () -> fleet.tools().get(upstream).call(request).whenComplete((text, failure) -> {
                                if (failure == null) {
                                    answer.complete(text);
                                } else {
                                    answer.completeExceptionally(failure);
                                }
                            }));
        }
        return answer;
    }

    /** A connection to an engine that carries one turn. */
    private final class Stream {
        private final String runner;
        private final Consumer<String> tokens;
        private final CompletableFuture<TurnResult> done;
        private Cancellable engineTurn = () -> {};
        private long lastTokenNanos;
        private boolean closed;
        /** Whether a token was lost; as with TCP, nothing after a lost token is delivered. */
        private boolean lost;

        private Stream(String runner, Consumer<String> tokens, CompletableFuture<TurnResult> done) {
            this.runner = runner;
            this.tokens = tokens;
            this.done = done;
            done.whenComplete((result, failure) -> open.remove(this));
        }

        private void begin(TurnRequest request) {
            lastTokenNanos = fleet.scheduler().nanos();
            if (closed) {
                return;
            }
            watchIdleTimeout();
            CompletableFuture<TurnResult> engineResult = new CompletableFuture<>();
            engineTurn = fleet.engines().get(runner).turn(request, 0, this::token, engineResult);
            engineResult.whenComplete((result, failure) -> {
                if (closed || lost || !fleet.network().isReachable(vm, runner)) {
                    return;
                }
                closed = true;
                if (failure == null) {
                    done.complete(result);
                } else {
                    done.completeExceptionally(failure);
                }
            });
        }

        private void token(String text) {
            lost |= !fleet.network().isReachable(vm, runner);
            if (!closed && !lost) {
                lastTokenNanos = fleet.scheduler().nanos();
                tokens.accept(text);
            }
        }

        private void watchIdleTimeout() {
            fleet.externalLoop().schedule(IDLE_TIMEOUT.dividedBy(4), () -> {
                if (closed) {
                    return;
                }
                if (fleet.scheduler().nanos() - lastTokenNanos > IDLE_TIMEOUT.toNanos()) {
                    cancel();
                    done.completeExceptionally(
                            new CallException(Step.TURN, runner, CallFailure.UNKNOWN, false, "silent"));
                } else {
                    watchIdleTimeout();
                }
            });
        }

        private void cancel() {
            closed = true;
            open.remove(this);
            engineTurn.cancel();
        }
    }
}
