package org.parsleydrift.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An HTTP/1.1 client based on Netty, with a connection pool and idle timeouts. */
public final class HttpClient {
    /** The platform and tools accept a connection within some ms; a VM that is gone never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_IDLE_PER_ADDRESS = 64;
    /** Lowest status of a final response; interim ones may precede it. */
    private static final int FINAL_STATUS = 200;

    private final Bootstrap bootstrap;
    private final Map<String, Deque<Channel>> idleConnections = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param threads the network threads
     */
    public HttpClient(NetworkThreads threads) {
        bootstrap = threads.clientBootstrap(CONNECT_TIMEOUT).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                StrictResponseDecoder decoder = new StrictResponseDecoder();
                channel.pipeline().addLast(new HttpRequestEncoder(), decoder, new IdleGuard(decoder));
            }
        });
    }

    /**
     * Sends a request and collects the response body.
     *
     * @param request the request
     * @return the response, whatever its status; fails with {@link HttpException}
     */
    public CompletableFuture<HttpClientResponse> send(HttpRequestSpec request) {
        return startAttempt(request, null).response();
    }

    /**
     * Sends a request and streams the response body if the status is below 300.
     *
     * @param request the request
     * @param chunks receives the chunks of the body on a network thread
     * @return the call in progress
     */
    public HttpCall stream(HttpRequestSpec request, Consumer<byte[]> chunks) {
        return startAttempt(request, chunks);
    }

    private HttpCall startAttempt(HttpRequestSpec request, Consumer<byte[]> chunks) {
        Attempt attempt = new Attempt(request, chunks);
        Channel channel = request.reuseConnection() ? acquireIdle(request.address()) : null;
        if (channel != null) {
            attempt.start(channel);
        } else {
            attempt.connect();
        }
        return new HttpCall(attempt.response, attempt::cancel);
    }

    private Channel acquireIdle(String address) {
        Deque<Channel> channels = idleConnections.get(address);
        Channel channel = channels == null ? null : channels.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = channels.pollLast();
        }
        return channel;
    }

    private void release(String address, Channel channel) {
        Deque<Channel> channels = idleConnections.computeIfAbsent(address, any -> new ConcurrentLinkedDeque<>());
        if (channels.size() < MAX_IDLE_PER_ADDRESS && channel.isActive()) {
            channels.addLast(channel);
        } else {
            channel.close();
        }
    }

    private static InetSocketAddress resolve(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Closes a connection that receives bytes while it serves no request; they must not reach the next one. */
    private static final class IdleGuard extends ChannelInboundHandlerAdapter {
        private final StrictResponseDecoder decoder;

        private IdleGuard(StrictResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (isIdle(context)) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (isIdle(context) && decoder.hasUndecodedBytes()) {
                context.close();
            }
            context.fireChannelReadComplete();
        }

        private static boolean isIdle(ChannelHandlerContext context) {
            return context.pipeline().get(ResponseHandler.class) == null;
        }
    }

    private final class Attempt {
        private final HttpRequestSpec request;
        private final Consumer<byte[]> chunks;
        private final CompletableFuture<HttpClientResponse> response = new CompletableFuture<>();
        private volatile Channel channel;
        private volatile boolean cancelled;

        private Attempt(HttpRequestSpec request, Consumer<byte[]> chunks) {
            this.request = request;
            this.chunks = chunks;
        }

        private void connect() {
            try {
                bootstrap.connect(resolve(request.address())).addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        start(done.channel());
                    } else {
                        fail(false, "no connection: " + done.cause().getMessage());
                    }
                });
            } catch (RuntimeException e) {
                fail(false, "no connection: " + e.getMessage());
            }
        }

        private void start(Channel openChannel) {
            channel = openChannel;
            if (cancelled) {
                openChannel.close();
                fail(false, "cancelled");
                return;
            }
            openChannel.eventLoop().execute(() -> {
                openChannel.pipeline().addLast(new ResponseHandler(this));
                if (!openChannel.isActive()) {
                    fail(false, "connection closed before use");
                    return;
                }
                var message = new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
                message.headers()
                        .set(HttpHeaderNames.HOST, request.address())
                        .setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
                openChannel.writeAndFlush(message);
            });
        }

        private void cancel() {
            cancelled = true;
            Channel openChannel = channel;
            if (openChannel != null) {
                openChannel.close();
            }
        }

        private void fail(boolean possiblySent, String reason) {
            fail(new HttpException(request.address(), possiblySent, reason));
        }

        private void fail(HttpException failure) {
            response.completeExceptionally(failure);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Attempt attempt;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Map<String, String> headers = new HashMap<>();
        private io.netty.util.concurrent.Future<?> idleCheck;
        private long lastByteNanos;
        private int status;
        private boolean keepAlive;

        private ResponseHandler(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            Duration idleTimeout = attempt.request.idleTimeout();
            lastByteNanos = context.executor().ticker().nanoTime();
            long periodMillis = Math.max(1, idleTimeout.toMillis() / 4);
            idleCheck = context.executor()
                    .scheduleAtFixedRate(
                            () -> checkIdleTimeout(context, idleTimeout),
                            periodMillis,
                            periodMillis,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            idleCheck.cancel(false);
        }

        /** Fails the request on a stalled connection, which TCP would report only after many minutes. */
        private void checkIdleTimeout(ChannelHandlerContext context, Duration idleTimeout) {
            if (isIdleFor(context, idleTimeout)) {
                NetworkLoop.runAfterRead(context.executor(), () -> {
                    if (isIdleFor(context, idleTimeout)) {
                        attempt.fail(true, "silent for " + idleTimeout.toMillis() + " ms");
                        context.close();
                    }
                });
            }
        }

        private boolean isIdleFor(ChannelHandlerContext context, Duration time) {
            return context.executor().ticker().nanoTime() - lastByteNanos > time.toNanos();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            lastByteNanos = context.executor().ticker().nanoTime();
            if (message.decoderResult().isFailure()) {
                attempt.fail(
                        true, "not HTTP: " + message.decoderResult().cause().getMessage());
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                status = response.status().code();
                headers.clear();
                keepAlive = HttpUtil.isKeepAlive(response);
                response.headers()
                        .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            }
            if (status < FINAL_STATUS) {
                return;
            }
            if (message instanceof HttpContent content) {
                receiveContent(context, content);
            }
            if (message instanceof LastHttpContent) {
                completeResponse(context);
            }
        }

        private void receiveContent(ChannelHandlerContext context, HttpContent content) {
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            if (attempt.chunks != null && status < 300) {
                if (bytes.length > 0) {
                    attempt.chunks.accept(bytes);
                }
                return;
            }
            body.writeBytes(bytes);
            if (body.size() > MAX_RESPONSE_BYTES) {
                attempt.fail(HttpException.tooLarge(attempt.request.address(), MAX_RESPONSE_BYTES));
                context.close();
            }
        }

        private void completeResponse(ChannelHandlerContext context) {
            context.pipeline().remove(this);
            boolean followed =
                    context.pipeline().get(StrictResponseDecoder.class).hasUndecodedBytes();
            if (keepAlive && attempt.request.reuseConnection() && !followed) {
                release(attempt.request.address(), context.channel());
            } else {
                context.close();
            }
            attempt.response.complete(new HttpClientResponse(status, Map.copyOf(headers), body.toByteArray()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            attempt.fail(true, "connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            attempt.fail(true, String.valueOf(cause.getMessage()));
            context.close();
        }
    }
}
