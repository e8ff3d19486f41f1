package org.parsleydrift.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
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

/** A small HTTP/1.1 client on Netty's codec, with kept connections and a limit on silence. */
public final class HttpClient {
    /** Time to connect; the platform and tools take some ms, a VM that is gone never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int KEPT_PER_ADDRESS = 64;

    private final Bootstrap bootstrap;
    private final Map<String, Deque<Channel>> kept = new ConcurrentHashMap<>();

    /**
     * Makes a client.
     *
     * @param threads the network threads
     */
    public HttpClient(NetworkThreads threads) {
        bootstrap = threads.clientBootstrap(CONNECT_TIMEOUT).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec());
            }
        });
    }

    /**
     * Makes a request and collects the answer.
     *
     * @param request the request
     * @return the answer; fails with {@link HttpException}
     */
    public CompletableFuture<HttpClientResponse> send(HttpRequestSpec request) {
        return open(request, null).response();
    }

    /**
     * Makes a request and hands on the body of a good answer piece by piece.
     *
     * @param request the request
     * @param pieces receives the pieces on a network thread
     * @return the call
     */
    public HttpCall stream(HttpRequestSpec request, Consumer<byte[]> pieces) {
        return open(request, pieces);
    }

    private HttpCall open(HttpRequestSpec request, Consumer<byte[]> pieces) {
        Attempt attempt = new Attempt(request, pieces);
        Channel channel = request.reuseConnection() ? takeKept(request.address()) : null;
        if (channel != null) {
            attempt.start(channel);
        } else {
            attempt.connect();
        }
        return new HttpCall(attempt.answer, attempt::cancel);
    }

    private Channel takeKept(String address) {
        Deque<Channel> channels = kept.get(address);
        Channel channel = channels == null ? null : channels.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = channels.pollLast();
        }
        return channel;
    }

    private void keep(String address, Channel channel) {
        Deque<Channel> channels = kept.computeIfAbsent(address, any -> new ConcurrentLinkedDeque<>());
        if (channels.size() < KEPT_PER_ADDRESS && channel.isActive()) {
            channels.addLast(channel);
        } else {
            channel.close();
        }
    }

    private static InetSocketAddress resolve(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private final class Attempt {
        private final HttpRequestSpec request;
        private final Consumer<byte[]> pieces;
        private final CompletableFuture<HttpClientResponse> answer = new CompletableFuture<>();
        private volatile Channel channel;
        private volatile boolean cancelled;

        private Attempt(HttpRequestSpec request, Consumer<byte[]> pieces) {
            this.request = request;
            this.pieces = pieces;
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
            } catch (RuntimeException fault) {
                fail(false, "no connection: " + fault.getMessage());
            }
        }

        private void start(Channel open) {
            channel = open;
            if (cancelled) {
                open.close();
                fail(false, "cancelled");
                return;
            }
            open.eventLoop().execute(() -> {
                open.pipeline().addLast(new AnswerHandler(this));
                if (!open.isActive()) {
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
                open.writeAndFlush(message);
            });
        }

        private void cancel() {
            cancelled = true;
            Channel open = channel;
            if (open != null) {
                open.close();
            }
        }

        private void fail(boolean sent, String reason) {
            answer.completeExceptionally(new HttpException(request.address(), sent, reason));
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Attempt attempt;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Map<String, String> headers = new HashMap<>();
        private io.netty.util.concurrent.Future<?> watchdog;
        private long lastByteNanos;
        private int status;
        private boolean keepAlive;

        private AnswerHandler(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            Duration silence = attempt.request.idleTimeout();
            lastByteNanos = context.executor().ticker().nanoTime();
            long period = Math.max(1, silence.toMillis() / 4);
            watchdog = context.executor()
                    .scheduleAtFixedRate(() -> checkSilence(context, silence), period, period, TimeUnit.MILLISECONDS);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            watchdog.cancel(false);
        }

        /**
         * A connection can go silent for good while new ones work. TCP would report that after many minutes; the
         * request, and with it a program, would hang for as long.
         */
        private void checkSilence(ChannelHandlerContext context, Duration silence) {
            if (context.executor().ticker().nanoTime() - lastByteNanos > silence.toNanos()) {
                attempt.fail(true, "silent for " + silence.toMillis() + " ms");
                context.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            lastByteNanos = context.executor().ticker().nanoTime();
            if (message instanceof HttpResponse response) {
                status = response.status().code();
                keepAlive = HttpUtil.isKeepAlive(response);
                response.headers()
                        .forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
            }
            if (message instanceof HttpContent content) {
                take(context, content);
            }
            if (message instanceof LastHttpContent) {
                finish(context);
            }
        }

        private void take(ChannelHandlerContext context, HttpContent content) {
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            if (attempt.pieces != null && status < 300) {
                if (bytes.length > 0) {
                    attempt.pieces.accept(bytes);
                }
                return;
            }
            body.writeBytes(bytes);
            if (body.size() > MAX_ANSWER_BYTES) {
                attempt.fail(true, "answer larger than " + MAX_ANSWER_BYTES + " bytes");
                context.close();
            }
        }

        private void finish(ChannelHandlerContext context) {
            context.pipeline().remove(this);
            if (keepAlive && attempt.request.reuseConnection()) {
                keep(attempt.request.address(), context.channel());
            } else {
                context.close();
            }
            attempt.answer.complete(new HttpClientResponse(status, Map.copyOf(headers), body.toByteArray()));
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
