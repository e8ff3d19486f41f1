package org.parsleydrift.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.wire.NetworkThreads;

/** Connections to runners, kept between requests by the id of the runner's life. Confined to one loop. */
final class RunnerConnections implements IdleConnections {
    /** Time to connect; a healthy runner takes a round trip, a dead VM never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Idle connections are closed after this; a connection takes one of the few that a runner accepts. */
    private static final Duration KEPT = Duration.ofSeconds(2);
    /** Kept this much shorter than the runner says, so that its close and our next request don't cross. */
    private static final Duration CLOSE_MARGIN = Duration.ofMillis(600);
    /** Reuse where the runner names no time: it may close at any moment. */
    private static final Duration UNSTATED = Duration.ofMillis(300);

    private static final Duration SWEEP = Duration.ofMillis(250);

    private final Bootstrap bootstrap;
    private final HeaderNames dialect;
    private final EventLoop loop;
    private final Map<String, Deque<RunnerConnection>> idle = new HashMap<>();
    private boolean sweeping;

    RunnerConnections(NetworkThreads threads, EventLoop loop, HeaderNames dialect) {
        this.loop = loop;
        this.dialect = dialect;
        this.bootstrap = threads.clientBootstrap(CONNECT_TIMEOUT);
    }

    /** Gives a connection on which nothing was sent for the next request; fails with StepException. */
    CompletableFuture<RunnerConnection> acquire(Runner runner) {
        RunnerConnection kept = takeIdle(runner.incarnation());
        return kept != null ? CompletableFuture.completedFuture(kept) : connect(runner);
    }

    @Override
    public void idle(RunnerConnection connection) {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(SWEEP, this::sweep);
        }
        idle.computeIfAbsent(connection.runnerLife(), any -> new ArrayDeque<>()).addLast(connection);
    }

    @Override
    public void closed(RunnerConnection connection) {
        Deque<RunnerConnection> kept = idle.get(connection.runnerLife());
        if (kept != null) {
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(connection.runnerLife());
            }
        }
    }

    private RunnerConnection takeIdle(String life) {
        Deque<RunnerConnection> kept = idle.get(life);
        while (kept != null && !kept.isEmpty()) {
            RunnerConnection newest = kept.pollLast();
            if (newest.open() && fresh(newest)) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    private static boolean fresh(RunnerConnection connection) {
        Duration limit =
                connection.idleLimit().map(each -> each.minus(CLOSE_MARGIN)).orElse(UNSTATED);
        Duration least = limit.compareTo(KEPT) < 0 ? limit : KEPT;
        return connection.idleFor().compareTo(least) < 0;
    }

    private CompletableFuture<RunnerConnection> connect(Runner runner) {
        CompletableFuture<RunnerConnection> connected = new CompletableFuture<>();
        RunnerConnection connection = new RunnerConnection(this, runner.incarnation(), dialect, loop.clock());
        int colon = runner.address().lastIndexOf(':');
        var address = new InetSocketAddress(
                runner.address().substring(0, colon),
                Integer.parseInt(runner.address().substring(colon + 1)));
        bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new HttpResponseDecoder())
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        connected.complete(connection);
                    } else {
                        connected.completeExceptionally(new StepException(
                                Step.PLACE,
                                runner.address(),
                                "no connection: " + done.cause().getMessage()));
                    }
                });
        return connected;
    }

    /** Runs only while there are idle connections: a node at rest has none to look after. */
    private void sweep() {
        List.copyOf(idle.values()).stream()
                .flatMap(each -> List.copyOf(each).stream())
                .filter(each -> !fresh(each))
                .forEach(RunnerConnection::close);
        sweeping = !idle.isEmpty();
        if (sweeping) {
            loop.schedule(SWEEP, this::sweep);
        }
    }
}
