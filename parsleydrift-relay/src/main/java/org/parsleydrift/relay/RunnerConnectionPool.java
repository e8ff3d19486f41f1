package org.parsleydrift.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.wire.NetworkThreads;

/** Connection pool, keyed by the id of the runner's incarnation. Not thread-safe; confined to one event loop. */
final class RunnerConnectionPool implements ConnectionPool {
    /** A healthy runner accepts a connection within a round trip; a dead VM never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Maximum idle time of a pooled connection; runners accept few connections. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(2);
    /** Margin below the idle timeout that the runner announces, against sending on a connection that it is closing. */
    private static final Duration CLOSE_MARGIN = Duration.ofMillis(600);
    /** Maximum idle time if the runner announces no timeout. */
    private static final Duration DEFAULT_IDLE_TIME = Duration.ofMillis(300);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

    private final Bootstrap bootstrap;
    private final HeaderNames headerNames;
    private final EventLoop loop;
    private final RelayMetrics metrics;
    private final Map<String, Deque<RunnerConnection>> idle = new HashMap<>();
    private boolean sweeping;

    RunnerConnectionPool(NetworkThreads threads, EventLoop loop, HeaderNames headerNames, RelayMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
        this.headerNames = headerNames;
        this.bootstrap = threads.clientBootstrap(CONNECT_TIMEOUT);
    }

    /**
     * Returns a pooled or new connection; the future fails with {@link StepException} if the runner cannot be reached.
     *
     * @param runner the runner
     * @param requestId id of the request; a connection that has served a request with this id is not returned, as a late
     *     duplicate of that response would be taken for the response
     */
    CompletableFuture<RunnerConnection> acquire(Runner runner, String requestId) {
        RunnerConnection pooled = pollIdle(runner.incarnation(), requestId);
        return pooled != null ? CompletableFuture.completedFuture(pooled) : connect(runner);
    }

    @Override
    public void release(RunnerConnection connection) {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(SWEEP_INTERVAL, this::sweep);
        }
        idle.computeIfAbsent(connection.incarnation(), any -> new ArrayDeque<>())
                .addLast(connection);
    }

    @Override
    public void remove(RunnerConnection connection) {
        Deque<RunnerConnection> pooled = idle.get(connection.incarnation());
        if (pooled != null) {
            pooled.remove(connection);
            if (pooled.isEmpty()) {
                idle.remove(connection.incarnation());
            }
        }
    }

    @Override
    public void recordIrregular(IrregularResponse kind) {
        metrics.recordIrregularResponse(kind);
    }

    private RunnerConnection pollIdle(String incarnation, String requestId) {
        Deque<RunnerConnection> pooled = idle.getOrDefault(incarnation, new ArrayDeque<>());
        closeUnusable(pooled);
        for (Iterator<RunnerConnection> newestFirst = pooled.descendingIterator(); newestFirst.hasNext(); ) {
            RunnerConnection each = newestFirst.next();
            if (!each.hasServed(requestId)) {
                newestFirst.remove();
                return each;
            }
        }
        return null;
    }

    private static void closeUnusable(Deque<RunnerConnection> pooled) {
        List<RunnerConnection> unusable = pooled.stream()
                .filter(each -> !each.isAvailable() || !isFresh(each))
                .toList();
        pooled.removeAll(unusable);
        unusable.forEach(RunnerConnection::close);
    }

    private static boolean isFresh(RunnerConnection connection) {
        Duration limit =
                connection.idleLimit().map(each -> each.minus(CLOSE_MARGIN)).orElse(DEFAULT_IDLE_TIME);
        Duration maxIdle = limit.compareTo(MAX_IDLE_TIME) < 0 ? limit : MAX_IDLE_TIME;
        return connection.idleTime().compareTo(maxIdle) < 0;
    }

    private CompletableFuture<RunnerConnection> connect(Runner runner) {
        CompletableFuture<RunnerConnection> connected = new CompletableFuture<>();
        RunnerConnection connection = new RunnerConnection(this, runner.incarnation(), headerNames, loop.clock());
        bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(connection.handlers());
                    }
                })
                .connect(runner.socketAddress())
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        connected.complete(connection);
                    } else {
                        connected.completeExceptionally(new StepException(
                                Step.PLACE,
                                runner.address(),
                                "connection failed: " + done.cause().getMessage()));
                    }
                });
        return connected;
    }

    /** Closes expired connections; rescheduled only while the pool is not empty. */
    private void sweep() {
        List.copyOf(idle.values()).stream()
                .flatMap(each -> List.copyOf(each).stream())
                .filter(each -> !isFresh(each))
                .forEach(RunnerConnection::close);
        sweeping = !idle.isEmpty();
        if (sweeping) {
            loop.schedule(SWEEP_INTERVAL, this::sweep);
        }
    }
}
