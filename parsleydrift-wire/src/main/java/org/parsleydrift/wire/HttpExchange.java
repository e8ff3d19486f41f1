package org.parsleydrift.wire;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** One HTTP request and its answer. Thread-safe: answers may come from any thread. */
public final class HttpExchange {
    private static final int MAX_UNSENT_BYTES = 8 << 20;

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final byte[] body;
    private final HttpHeaders headers;
    private final boolean keepAlive;
    private final AtomicBoolean ended = new AtomicBoolean();

    HttpExchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.method = request.method().name();
        this.target = new QueryStringDecoder(request.uri());
        this.body = ByteBufUtil.getBytes(request.content());
        this.headers = request.headers();
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /**
     * The request's method.
     *
     * @return GET, POST and so on
     */
    public String method() {
        return method;
    }

    /**
     * The request's path.
     *
     * @return the decoded path, without the query
     */
    public String path() {
        return target.path();
    }

    /**
     * A parameter of the query.
     *
     * @param name its name
     * @param fallback what to give if it is absent
     * @return its first value
     */
    public String queryParameter(String name, String fallback) {
        Map<String, List<String>> parameters = target.parameters();
        return parameters.containsKey(name) ? parameters.get(name).getFirst() : fallback;
    }

    /**
     * A header of the request.
     *
     * @param name its name
     * @param fallback what to give if it is absent
     * @return its value
     */
    public String header(String name, String fallback) {
        return headers.get(name, fallback);
    }

    /**
     * The request's body.
     *
     * @return the body as UTF-8 text
     */
    public String body() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * The request's body as it came.
     *
     * @return the bytes
     */
    public byte[] bodyBytes() {
        return body.clone();
    }

    /**
     * The caller's address.
     *
     * @return address and port
     */
    public String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /**
     * Answers with a whole body.
     *
     * @param status the HTTP status
     * @param contentType the body's type
     * @param text the body
     * @param headers further headers
     */
    public void respond(int status, String contentType, String text, Map<String, String> headers) {
        respond(status, contentType, text.getBytes(StandardCharsets.UTF_8), headers);
    }

    /**
     * Answers with a whole body.
     *
     * @param status the HTTP status
     * @param contentType the body's type
     * @param bytes the body
     * @param headers further headers
     */
    public void respond(int status, String contentType, byte[] bytes, Map<String, String> headers) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        headers.forEach((name, value) -> response.headers().set(name, value));
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var sent = channel.writeAndFlush(response);
        if (!keepAlive) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Begins an answer that comes piece by piece.
     *
     * @param contentType the body's type
     */
    public void beginStream(String contentType) {
        beginStream(contentType, Map.of());
    }

    /**
     * Begins an answer that comes piece by piece.
     *
     * @param contentType the body's type
     * @param more further headers
     */
    public void beginStream(String contentType, Map<String, String> more) {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        more.forEach((name, value) -> response.headers().set(name, value));
        channel.writeAndFlush(response);
    }

    /**
     * Sends a piece. A reader that is too slow loses its connection, since what it has not read would fill the node's
     * memory; it can come back and read on from its offset.
     *
     * @param text the piece
     */
    public void write(String text) {
        if (ended.get()) {
            return;
        }
        var outbound = channel.unsafe().outboundBuffer();
        if (outbound != null && outbound.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
            channel.close();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    /** Ends an answer that was begun with {@link #beginStream}. */
    public void endStream() {
        if (ended.compareAndSet(false, true)) {
            var sent = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (!keepAlive) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    /** Closes the connection without an end of the answer, so that the caller can tell that it is cut. */
    public void abort() {
        ended.set(true);
        channel.close();
    }

    /**
     * Runs a task when the caller's connection closes.
     *
     * @param task what to run
     */
    public void onClose(Runnable task) {
        channel.closeFuture().addListener(closed -> task.run());
    }

    boolean finished() {
        return ended.get();
    }
}
