package org.parsleydrift.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.wire.LingeringClose;

/** One HTTP/1.1 connection of a caller. Pipelined requests are processed one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = System.getLogger(CallerConnection.class.getName());
    /** Buffered message parts of pipelined requests above which reading from the connection pauses. */
    private static final int MAX_PENDING_PARTS = 64;
    /** Unsent response bytes above which a slow caller is disconnected. */
    private static final long MAX_UNSENT_BYTES = 1 << 20;

    /** Time without a request after which a connection counts as idle while the node drains. */
    private static final Duration MIN_IDLE = Duration.ofMillis(250);

    private static final int UNAVAILABLE = 503;

    private final RequestHandler handler;
    private final ConnectionOwner server;
    private final RuntimeClock clock;
    private final Deque<HttpObject> pending = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private HttpRequest head;
    private Response current;
    private boolean closing;
    private long idleSinceNanos;
    /** Number of unsent bytes at the latest check, which shows whether the caller reads. */
    private long lastUnsentBytes;

    CallerConnection(RequestHandler handler, ConnectionOwner server, RuntimeClock clock) {
        this.handler = handler;
        this.server = server;
        this.clock = clock;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceNanos = clock.nanos();
        server.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.connectionClosed(this);
        closing = true;
        releasePending();
        if (current != null && !current.ended) {
            current.ended = true;
            server.responses().remove(current);
            if (current.request != null) {
                current.request.handleDisconnect();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        pending.add((HttpObject) message);
        if (pending.size() > MAX_PENDING_PARTS) {
            channel.config().setAutoRead(false);
        }
        processParts();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Usually a reset by the caller; channelInactive() cancels the request in progress.
        LOG.log(
                cause instanceof IOException ? Logger.Level.DEBUG : Logger.Level.ERROR,
                () -> LogLine.of("caller_connection_failed").failure(cause).toString());
        context.close();
    }

    /** Returns whether the connection has been idle, or a request incomplete, for longer than the limits allow. */
    boolean isTimedOut(CallerLimits limits) {
        boolean busy = current != null && !current.ended;
        if (busy || (closing && !isSending())) {
            return false;
        }
        if (isSending() && unsentBytes() != lastUnsentBytes) {
            lastUnsentBytes = unsentBytes();
            idleSinceNanos = clock.nanos();
        }
        Duration open =
                head == null ? limits.idleTimeout() : limits.headerTimeout().plus(limits.idleTimeout());
        return clock.nanos() - idleSinceNanos > open.toNanos();
    }

    /** Returns whether no request is being received or processed and no response is being sent, and not only just now. */
    boolean isIdle() {
        boolean busy = (current != null && !current.delivered) || isReceiving() || closing;
        return !busy && clock.nanos() - idleSinceNanos >= MIN_IDLE.toNanos();
    }

    private boolean isSending() {
        return current != null && current.ended && !current.delivered;
    }

    /** Returns the number of bytes of responses that the network has not taken. */
    private long unsentBytes() {
        var unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
    }

    /** Returns whether a request is incomplete or waits for the end of the one before. */
    boolean isReceiving() {
        return !closing && (head != null || !pending.isEmpty());
    }

    /** Rejects a request that is incomplete as the process ends. It was sent to no runner. */
    void rejectIncomplete() {
        if (head != null && !closing) {
            reject(UNAVAILABLE, "process ends before the request is complete");
        }
    }

    /** Closes the connection, also if the response to the last request is not wholly sent. */
    void close() {
        if (isSending()) {
            server.responses().recordMissing(current, "caller does not read");
        }
        closing = true;
        channel.close();
    }

    private void releasePending() {
        pending.forEach(ReferenceCountUtil::release);
        pending.clear();
    }

    /** Closes the connection once its last response is sent; discards what the caller has sent beyond the request. */
    private void closeAfter(ChannelFuture sent) {
        closing = true;
        head = null;
        releasePending();
        LingeringClose.closeAfter(sent);
    }

    private void processParts() {
        while (!closing && (current == null || current.ended) && !pending.isEmpty()) {
            HttpObject part = pending.poll();
            idleSinceNanos = clock.nanos();
            try {
                processPart(part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (!closing && pending.isEmpty() && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    private void processPart(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            rejectFraming(part);
            return;
        }
        if (part instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (!closing && part instanceof HttpContent content && head != null) {
            ByteBuf bytes = content.content();
            if (body.size() + bytes.readableBytes() > server.limits().maxBodyBytes()) {
                reject(413, "request body larger than " + server.limits().maxBodyBytes() + " bytes");
                return;
            }
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            body.writeBytes(copy);
            if (part instanceof LastHttpContent) {
                handleRequest();
            }
        }
    }

    private void rejectFraming(HttpObject part) {
        boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
        reject(tooLong ? 431 : 400, String.valueOf(part.decoderResult().cause().getMessage()));
    }

    private void beginRequest(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean validEncoding = encodings.isEmpty()
                || (encodings.size() == 1
                        && "chunked".equalsIgnoreCase(encodings.getFirst().trim())
                        && request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        boolean singleHost = headers.getAll(HttpHeaderNames.HOST).size() == 1;
        if (!validEncoding || !singleHost || !request.uri().startsWith("/")) {
            reject(400, "invalid Transfer-Encoding, Host or request target");
            return;
        }
        head = request;
        body.reset();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void handleRequest() {
        HttpRequest request = head;
        head = null;
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean knowsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        CallerRequest complete = new CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers().get(HttpHeaderNames.HOST),
                request.headers(),
                body.toByteArray());
        body.reset();
        Response response = new Response(keepAlive, "HEAD".equals(complete.method()), knowsChunks);
        current = response;
        server.responses().add(response);
        try {
            response.request = handler.handle(complete, response);
        } catch (RuntimeException | Error fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("request_handling_failed")
                            .with("peer", channel.remoteAddress())
                            .toString(),
                    fault);
            // A runner may have been asked.
            response.sendFull(
                    HttpResponseStatus.BAD_GATEWAY.code(),
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    new byte[0]);
        }
    }

    /** Rejects a malformed request and closes the connection, since the start of the next request is unknown. */
    private void reject(int status, String reason) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("caller_request_unreadable")
                        .with("status", status)
                        .with("peer", channel.remoteAddress())
                        .with("reason", reason)
                        .toString());
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closeAfter(channel.writeAndFlush(response));
    }

    /** Writes the response to one request. */
    private final class Response implements CallerResponse, OwedResponse {
        private final boolean keepAlive;
        private final boolean headOnly;
        /** Whether the caller knows chunks; if not, a stream ends with its connection. */
        private final boolean knowsChunks;
        /** Null until the handler has returned, which may be after the response. */
        private OpenRequest request;

        private boolean ended;
        /** Whether the connection closes after this response, as its head says. */
        private boolean closes;
        /** Whether the network has taken the last byte. */
        private boolean delivered;

        private Response(boolean keepAlive, boolean headOnly, boolean knowsChunks) {
            this.keepAlive = keepAlive;
            this.headOnly = headOnly;
            this.knowsChunks = knowsChunks;
        }

        @Override
        public void sendFull(int status, HttpHeaders headers, byte[] bytes) {
            if (ended) {
                return;
            }
            var response =
                    fullResponse(status, headers, headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes));
            if (!headOnly) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            }
            announceClose(response.headers());
            finish(channel.writeAndFlush(response));
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {
            announceClose(headers);
            if (headOnly) {
                channel.writeAndFlush(fullResponse(status, headers, Unpooled.EMPTY_BUFFER));
                return;
            }
            var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
            if (knowsChunks) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                closes = true;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                // However the connection ends before the stream does, it must not look like the end of the stream.
                resetOnClose(true);
            }
            channel.writeAndFlush(response);
        }

        /** Sets whether closing the connection resets it, also if the process ends. */
        private void resetOnClose(boolean reset) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
            }
        }

        @Override
        public void sendEvents(byte[] bytes) {
            if (headOnly) {
                return;
            }
            var unsent = channel.unsafe().outboundBuffer();
            if (unsent != null && unsent.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("caller_reads_too_slowly")
                                .with("peer", channel.remoteAddress())
                                .toString());
                server.responses().recordMissing(this, "caller reads too slowly");
                channel.close();
                return;
            }
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }

        @Override
        public void endStream() {
            if (!ended) {
                Object end = headOnly ? Unpooled.EMPTY_BUFFER : LastHttpContent.EMPTY_LAST_CONTENT;
                ChannelFuture sent = channel.writeAndFlush(end);
                if (!knowsChunks && !headOnly) {
                    sent.addListener(done -> resetOnClose(!done.isSuccess()));
                }
                finish(sent);
            }
        }

        @Override
        public void abort() {
            ended = true;
            server.responses().remove(this);
            closing = true;
            channel.close();
        }

        @Override
        public String requestId() {
            return request == null ? "-" : request.id();
        }

        @Override
        public ResponseStage stage() {
            if (ended) {
                return ResponseStage.SENDING;
            }
            return request == null ? ResponseStage.BEFORE_RUNNER : ResponseStage.of(request.stage());
        }

        @Override
        public void endNow() {
            if (!ended && request != null) {
                request.handleProcessEnd();
            }
        }

        private DefaultFullHttpResponse fullResponse(int status, HttpHeaders headers, ByteBuf content) {
            return new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    content,
                    headers,
                    DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        }

        private void announceClose(HttpHeaders headers) {
            // Requests that the caller has sent ahead are answered before the close.
            closes = !keepAlive || (server.isDraining() && pending.isEmpty());
            if (closes) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(ChannelFuture sent) {
            ended = true;
            idleSinceNanos = clock.nanos();
            sent.addListener(done -> {
                delivered = true;
                server.responses().remove(this);
            });
            if (closes && !keepAlive && pending.isEmpty()) {
                closing = true;
                sent.addListener(ChannelFutureListener.CLOSE);
            } else if (closes) {
                closeAfter(sent);
            } else {
                // Scheduled instead of called: many buffered requests would otherwise recurse too deeply.
                channel.eventLoop().execute(CallerConnection.this::processParts);
            }
        }
    }
}
