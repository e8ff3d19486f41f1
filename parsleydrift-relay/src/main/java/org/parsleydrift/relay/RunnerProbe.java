package org.parsleydrift.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.wire.NetworkThreads;

/**
 * Health check of a single runner on a connection of its own. A process that has ended can't accept a new connection, and
 * the id in the response tells the runner from a successor at its address. Confined to the event loop.
 */
final class RunnerProbe {
    /** Maximum time until the connection is established, as for requests. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Maximum time until the response; the check waits for a slot as any request does. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private static final int MISDIRECTED = 421;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final HeaderNames headerNames;

    RunnerProbe(NetworkThreads threads, EventLoop loop, HeaderNames headerNames) {
        this.bootstrap = threads.clientBootstrap(CONNECT_TIMEOUT);
        this.loop = loop;
        this.headerNames = headerNames;
    }

    /**
     * Checks a runner.
     *
     * @param runner the runner
     * @param healthPath path of its health checks; with the empty string, a connection is established only
     * @return the result; never fails
     */
    CompletableFuture<ProbeResult> check(Runner runner, String healthPath) {
        CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new HttpResponseDecoder())
                                .addLast(new ResponseHandler(runner, result));
                    }
                })
                .connect(runner.socketAddress())
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        result.complete(new ProbeResult.Unreachable());
                    } else if (healthPath.isEmpty()) {
                        result.complete(new ProbeResult.Unanswered());
                    } else {
                        connected.channel().writeAndFlush(request(runner, healthPath));
                        boundWait(result);
                    }
                    result.whenComplete((any, failure) -> connected.channel().close());
                });
        return result;
    }

    private void boundWait(CompletableFuture<ProbeResult> result) {
        Cancellable timeout = loop.schedule(RESPONSE_TIMEOUT, () -> result.complete(new ProbeResult.Unanswered()));
        result.whenComplete((any, failure) -> timeout.cancel());
    }

    private DefaultFullHttpRequest request(Runner runner, String healthPath) {
        var request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, runner.address())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(headerNames.expectInstance(), runner.id());
        return request;
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Runner runner;
        private final CompletableFuture<ProbeResult> result;
        private long connectedNanos;

        private ResponseHandler(Runner runner, CompletableFuture<ProbeResult> result) {
            this.runner = runner;
            this.result = result;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connectedNanos = loop.clock().nanos();
            context.fireChannelActive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse response) {
                result.complete(part.decoderResult().isSuccess() ? resultOf(response) : new ProbeResult.Unanswered());
            }
        }

        private ProbeResult resultOf(HttpResponse response) {
            String instance = response.headers().get(headerNames.instance(), runner.id());
            boolean isOther = response.status().code() == MISDIRECTED || !instance.equals(runner.id());
            return isOther ? new ProbeResult.Replaced() : new ProbeResult.Answered(connectedNanos);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            result.complete(new ProbeResult.Unanswered());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            result.complete(new ProbeResult.Unanswered());
        }
    }
}
