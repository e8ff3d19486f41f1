package org.parsleydrift.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.registry.CallerLimits;

/** One HTTP/1.1 connection of a caller. Pipelined requests are processed one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = System.getLogger(CallerConnection.class.getName());
    /** Buffered message parts of pipelined requests above which reading from the connection pauses. */
    private static final int MAX_WAITING_PARTS = 64;
    /** Unsent response bytes above which a slow caller is disconnected. */
    private static final long MAX_UNSENT_BYTES = 1 << 20;

    private final RequestHandler handler;
    private final ConnectionOwner server;
    private final RuntimeClock clock;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private HttpRequest head;
    private Answer current;
    private boolean closing;
    private long quietSinceNanos;

    CallerConnection(RequestHandler handler, ConnectionOwner server, RuntimeClock clock) {
        this.handler = handler;
        this.server = server;
        this.clock = clock;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        quietSinceNanos = clock.nanos();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        closing = true;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (current != null && !current.ended) {
            current.ended = true;
            current.onGone.run();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        waiting.add((HttpObject) message);
        if (waiting.size() > MAX_WAITING_PARTS) {
            channel.config().setAutoRead(false);
        }
        takeParts();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Usually a reset by the caller; channelInactive() cancels the request in progress.
        LOG.log(
                Logger.Level.DEBUG,
                () -> LogLine.of("caller_connection_failed").failure(cause).toString());
        context.close();
    }

    /** Closes the connection if it has been idle, or a request incomplete, for longer than the limits allow. */
    void checkIdle(CallerLimits limits) {
        boolean busy = current != null && !current.ended;
        if (busy || closing) {
            return;
        }
        long limit =
                (head == null ? limits.idleTimeout() : limits.headerTimeout().plus(limits.idleTimeout())).toNanos();
        if (clock.nanos() - quietSinceNanos > limit) {
            close();
        }
    }

    /** Closes the connection unless a request is being received or processed. */
    void closeIfIdle() {
        boolean busy = (current != null && !current.ended) || head != null || !waiting.isEmpty();
        if (!busy) {
            close();
        }
    }

    private void close() {
        closing = true;
        channel.close();
    }

    private void takeParts() {
        while (!closing && (current == null || current.ended) && !waiting.isEmpty()) {
            HttpObject part = waiting.poll();
            quietSinceNanos = clock.nanos();
            try {
                take(part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (!closing && waiting.isEmpty() && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            refuseFraming(part);
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (!closing && part instanceof HttpContent content && head != null) {
            ByteBuf bytes = content.content();
            if (body.size() + bytes.readableBytes() > server.limits().maxBodyBytes()) {
                refuse(413, "request body larger than " + server.limits().maxBodyBytes() + " bytes");
                return;
            }
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            body.writeBytes(copy);
            if (part instanceof LastHttpContent) {
                serve();
            }
        }
    }

    private void refuseFraming(HttpObject part) {
        boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
        refuse(tooLong ? 431 : 400, String.valueOf(part.decoderResult().cause().getMessage()));
    }

    private void begin(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean soundEncoding = encodings.isEmpty()
                || (encodings.size() == 1
                        && "chunked".equalsIgnoreCase(encodings.getFirst().trim())
                        && request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        boolean oneHost = headers.getAll(HttpHeaderNames.HOST).size() == 1;
        if (!soundEncoding || !oneHost || !request.uri().startsWith("/")) {
            refuse(400, "invalid Transfer-Encoding, Host or request target");
            return;
        }
        head = request;
        body.reset();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void serve() {
        HttpRequest request = head;
        head = null;
        boolean keep = HttpUtil.isKeepAlive(request);
        CallerRequest whole = new CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers().get(HttpHeaderNames.HOST),
                request.headers(),
                body.toByteArray());
        body.reset();
        Answer answer = new Answer(keep, "HEAD".equals(whole.method()));
        current = answer;
        answer.onGone = handler.handle(whole, answer);
    }

    /** Rejects a malformed request and closes the connection, since the start of the next request is unknown. */
    private void refuse(int status, String reason) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("caller_request_unreadable")
                        .with("status", status)
                        .with("peer", channel.remoteAddress())
                        .with("reason", reason)
                        .toString());
        closing = true;
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes the response to one request. */
    private final class Answer implements CallerAnswer {
        private final boolean keep;
        private final boolean headOnly;
        private Runnable onGone = () -> {};
        private boolean ended;

        private Answer(boolean keep, boolean headOnly) {
            this.keep = keep;
            this.headOnly = headOnly;
        }

        @Override
        public void whole(int status, HttpHeaders headers, byte[] bytes) {
            if (ended) {
                return;
            }
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes),
                    headers,
                    DefaultHttpHeadersFactory.trailersFactory().newHeaders());
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            boolean closes = announceClose(response.headers());
            finish(channel.writeAndFlush(response), closes);
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {
            var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            announceClose(response.headers());
            channel.writeAndFlush(response);
        }

        @Override
        public void events(byte[] bytes) {
            var unsent = channel.unsafe().outboundBuffer();
            if (unsent != null && unsent.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("caller_reads_too_slowly")
                                .with("peer", channel.remoteAddress())
                                .toString());
                channel.close();
                return;
            }
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }

        @Override
        public void endStream() {
            if (!ended) {
                finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), !keep || server.draining());
            }
        }

        @Override
        public void abort() {
            ended = true;
            close();
        }

        private boolean announceClose(HttpHeaders headers) {
            boolean closes = !keep || server.draining();
            if (closes) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return closes;
        }

        private void finish(ChannelFuture sent, boolean closes) {
            ended = true;
            quietSinceNanos = clock.nanos();
            if (closes) {
                closing = true;
                sent.addListener(ChannelFutureListener.CLOSE);
            } else {
                // Scheduled instead of called: many buffered requests would otherwise recurse too deeply.
                channel.eventLoop().execute(CallerConnection.this::takeParts);
            }
        }
    }
}
