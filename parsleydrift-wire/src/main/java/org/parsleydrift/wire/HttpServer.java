package org.parsleydrift.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleydrift.kernel.LogLine;

/** An HTTP/1.1 server based on Netty. It limits the number of connections and closes idle ones. */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(HttpServer.class.getName());
    private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 120;
    /** Number of requests sent ahead above which a connection is not read. */
    private static final int MAX_PENDING_REQUESTS = 16;

    /** Time without a request after which a connection counts as idle at the end of the server. */
    private static final int MIN_IDLE_MILLIS = 250;

    private static final Rejection MALFORMED = new Rejection(
            400,
            "{\"error\":\"bad_request\",\"step\":\"PARSE\",\"peer\":\"caller\",\"message\":\"malformed HTTP\"}\n",
            Map.of());
    private static final Rejection OVERSIZED = new Rejection(
            413,
            "{\"error\":\"bad_request\",\"step\":\"PARSE\",\"peer\":\"caller\",\"message\":\"body too large\"}\n",
            Map.of());
    private static final Rejection ENDING = new Rejection(
            503,
            "{\"error\":\"not_run\",\"step\":\"ADMIT\",\"peer\":\"self\",\"message\":\"process ends\"}\n",
            Map.of("Retry-After", "1"));
    private static final Rejection CROWDED = new Rejection(
            503,
            "{\"error\":\"not_run\",\"step\":\"ADMIT\",\"peer\":\"self\",\"message\":\"too many connections\"}\n",
            Map.of("Retry-After", "1"));

    private final NetworkThreads threads;
    private final HttpHandler handler;
    private final int maxConnections;
    private final int maxBodyBytes;
    private final AtomicInteger connections = new AtomicInteger();
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;
    private final AtomicInteger owed = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean ending;

    /**
     * Starts a server that accepts bodies of up to 1 MiB.
     *
     * @param threads the network threads
     * @param host the address to listen on
     * @param port the port to listen on, 0 for any free port
     * @param maxConnections the maximum number of connections; requests on further ones are rejected with status 503
     * @param handler handles the requests
     */
    public HttpServer(NetworkThreads threads, String host, int port, int maxConnections, HttpHandler handler) {
        this(threads, host, port, maxConnections, DEFAULT_MAX_BODY_BYTES, handler);
    }

    /**
     * Starts a server.
     *
     * @param threads the network threads
     * @param host the address to listen on
     * @param port the port to listen on, 0 for any free port
     * @param maxConnections the maximum number of connections; requests on further ones are rejected with status 503
     * @param maxBodyBytes the size of the largest accepted body, bytes; requests with larger ones get status 413
     * @param handler handles the requests
     */
    public HttpServer(
            NetworkThreads threads, String host, int port, int maxConnections, int maxBodyBytes, HttpHandler handler) {
        this.threads = threads;
        this.handler = handler;
        this.maxConnections = maxConnections;
        this.maxBodyBytes = maxBodyBytes;
        this.listener = threads.serverBootstrap()
                .childHandler(new Initializer())
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port, 1 to 65535
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number, including connections above the limit
     */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    /** Announces the close of each connection in its next response, so that callers do not begin further requests on it. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops listening, rejects requests that are incomplete, and waits until all other requests are answered and their
     * connections closed.
     *
     * @param limit the longest time to wait
     * @return whether all connections were closed within that time
     */
    public boolean end(Duration limit) {
        drain();
        ending = true;
        close();
        // Connections that were accepted last are registered behind this.
        threads.group().forEach(loop -> loop.submit(() -> {}).awaitUninterruptibly(limit.toMillis()));
        channels.forEach(channel -> channel.eventLoop().execute(() -> {
            RequestHandler requests = channel.pipeline().get(RequestHandler.class);
            if (requests != null) {
                requests.end();
            }
        }));
        return channels.newCloseFuture().awaitUninterruptibly(limit.toMillis());
    }

    /**
     * Returns the number of requests whose response is not wholly sent.
     *
     * @return the number of requests that were read, on connections that are open
     */
    public int owedResponses() {
        return owed.get();
    }

    /** Stops listening and closes all connections, whether requests are open or not. */
    public void abort() {
        close();
        channels.close().awaitUninterruptibly();
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            connections.incrementAndGet();
            channel.closeFuture().addListener(closed -> connections.decrementAndGet());
            channels.add(channel);
            RequestHandler requests = new RequestHandler();
            channel.pipeline()
                    .addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, 0, 0))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(maxBodyBytes) {
                        @Override
                        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
                            requests.rejectIncomplete((HttpRequest) oversized, OVERSIZED);
                        }

                        @Override
                        protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out)
                                throws Exception {
                            if (part instanceof HttpRequest head) {
                                requests.receiving = Optional.of(head);
                            }
                            if (part instanceof LastHttpContent) {
                                requests.receiving = Optional.empty();
                            }
                            super.decode(context, part, out);
                        }
                    })
                    .addLast(requests);
        }
    }

    /** A request that was read, or a reason to reject it. */
    private record Received(HttpExchange exchange, Optional<Rejection> rejection) {}

    private record Rejection(int status, String body, Map<String, String> headers) {}

    /** Handles the requests of a connection one after the other, so that each is answered before the next one. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Queue<Received> pending = new ConcurrentLinkedQueue<>();
        private Optional<HttpRequest> receiving = Optional.empty();
        private Optional<HttpExchange> current = Optional.empty();
        private ChannelHandlerContext context;
        private int owedHere;
        private boolean closing;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            if (ending) {
                end();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext inactive) {
            closing = true;
            forget(owedHere);
            inactive.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext any, FullHttpRequest request) {
            add(request, request.decoderResult().isFailure() ? Optional.of(MALFORMED) : Optional.empty());
        }

        private void rejectIncomplete(HttpRequest request, Rejection reason) {
            receiving = Optional.empty();
            var head = new DefaultFullHttpRequest(
                    request.protocolVersion(),
                    request.method(),
                    request.uri(),
                    Unpooled.EMPTY_BUFFER,
                    request.headers(),
                    DefaultHttpHeadersFactory.trailersFactory().newHeaders());
            add(head, Optional.of(reason));
        }

        private void add(FullHttpRequest request, Optional<Rejection> rejection) {
            if (closing) {
                return;
            }
            owed.incrementAndGet();
            owedHere++;
            // Requests that the caller has sent ahead are answered before the close.
            var exchange = new HttpExchange(context.channel(), request, () -> draining && pending.isEmpty());
            pending.add(new Received(exchange, rejection));
            if (pending.size() > MAX_PENDING_REQUESTS) {
                context.channel().config().setAutoRead(false);
            }
            handleNext();
        }

        private void forget(int responses) {
            int forgotten = Math.min(responses, owedHere);
            owedHere -= forgotten;
            owed.addAndGet(-forgotten);
        }

        private void handleNext() {
            if (closing || current.isPresent()) {
                return;
            }
            if (pending.isEmpty()) {
                context.channel().config().setAutoRead(true);
                if (ending) {
                    end();
                }
                return;
            }
            Received next = pending.remove();
            HttpExchange exchange = next.exchange();
            current = Optional.of(exchange);
            exchange.sent().addListener((ChannelFuture sent) -> handleSent(exchange, sent));
            next.rejection()
                    .or(this::rejection)
                    .ifPresentOrElse(reason -> reject(exchange, reason), () -> handle(exchange));
        }

        private Optional<Rejection> rejection() {
            if (ending) {
                return Optional.of(ENDING);
            }
            return connections.get() > maxConnections ? Optional.of(CROWDED) : Optional.empty();
        }

        private void handle(HttpExchange exchange) {
            try {
                handler.handle(exchange);
            } catch (RuntimeException fault) {
                exceptionCaught(context, fault);
            }
        }

        private void reject(HttpExchange exchange, Rejection reason) {
            exchange.closeAfterResponse();
            exchange.respond(reason.status(), "application/json", reason.body(), reason.headers());
        }

        private void handleSent(HttpExchange exchange, ChannelFuture sent) {
            forget(1);
            if (exchange.closesAfterResponse() || !sent.isSuccess()) {
                closeAfter(sent);
                return;
            }
            // Scheduled instead of called: many buffered requests would otherwise recurse too deeply.
            context.executor().execute(() -> {
                current = Optional.empty();
                handleNext();
            });
        }

        private void closeAfter(ChannelFuture sent) {
            closing = true;
            pending.clear();
            forget(owedHere);
            LingeringClose.closeAfter(sent);
        }

        /** Closes the connection unless a request is open or on its way, in which case its response closes it. */
        private void end() {
            receiving.ifPresent(head -> rejectIncomplete(head, ENDING));
            context.executor().schedule(this::closeIfIdle, MIN_IDLE_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void closeIfIdle() {
            receiving.ifPresent(head -> rejectIncomplete(head, ENDING));
            if (!closing && current.isEmpty()) {
                closeAfter(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            boolean awaitsResponse =
                    current.filter(exchange -> !exchange.isFinished()).isPresent();
            if (event instanceof IdleStateEvent && !awaitsResponse) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    Logger.Level.DEBUG,
                    () -> LogLine.of("caller_connection_failed")
                            .with("peer", context.channel().remoteAddress())
                            .failure(cause)
                            .toString());
            context.close();
        }
    }
}
