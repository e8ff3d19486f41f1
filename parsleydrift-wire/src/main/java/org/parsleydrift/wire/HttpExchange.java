package org.parsleydrift.wire;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
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
import java.util.function.BooleanSupplier;

/** An HTTP request received by the server, and its response. Thread-safe. */
public final class HttpExchange {
    private static final int MAX_UNSENT_BYTES = 8 << 20;

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final byte[] body;
    private final HttpHeaders headers;
    private final BooleanSupplier announcesClose;
    private final ChannelPromise sent;
    private volatile boolean closesAfterResponse;
    private final AtomicBoolean ended = new AtomicBoolean();

    HttpExchange(Channel channel, FullHttpRequest request, BooleanSupplier announcesClose) {
        this.channel = channel;
        this.method = request.method().name();
        this.target = new QueryStringDecoder(request.uri());
        this.body = ByteBufUtil.getBytes(request.content());
        this.headers = request.headers();
        this.announcesClose = announcesClose;
        this.sent = channel.newPromise();
        this.closesAfterResponse = !HttpUtil.isKeepAlive(request);
    }

    /**
     * Returns the method of the request.
     *
     * @return the method in upper case, such as GET
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path of the request.
     *
     * @return the decoded path without the query
     */
    public String path() {
        return target.path();
    }

    /**
     * Returns a query parameter.
     *
     * @param name the name of the parameter
     * @param defaultValue the value to return if the parameter is absent
     * @return the first value of the parameter, decoded
     */
    public String queryParameter(String name, String defaultValue) {
        Map<String, List<String>> parameters = target.parameters();
        return parameters.containsKey(name) ? parameters.get(name).getFirst() : defaultValue;
    }

    /**
     * Returns a header of the request.
     *
     * @param name the name of the header, in any case
     * @param defaultValue the value to return if the header is absent
     * @return the first value of the header
     */
    public String header(String name, String defaultValue) {
        return headers.get(name, defaultValue);
    }

    /**
     * Returns the request body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String body() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the request body.
     *
     * @return a copy of the body, empty if there is none
     */
    public byte[] bodyBytes() {
        return body.clone();
    }

    /**
     * Returns the remote address of the connection.
     *
     * @return the address and port
     */
    public String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /**
     * Sends a complete response. Ignored if the response has already ended.
     *
     * @param status the HTTP status code
     * @param contentType the content type of the body
     * @param text the body, sent as UTF-8
     * @param headers additional headers
     */
    public void respond(int status, String contentType, String text, Map<String, String> headers) {
        respond(status, contentType, text.getBytes(StandardCharsets.UTF_8), headers);
    }

    /**
     * Sends a complete response. Ignored if the response has already ended.
     *
     * @param status the HTTP status code
     * @param contentType the content type of the body
     * @param bytes the body
     * @param headers additional headers
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
        announceClose(response.headers());
        channel.writeAndFlush(response, sent);
    }

    /**
     * Starts a streamed response with status 200.
     *
     * @param contentType the content type of the body
     */
    public void beginStream(String contentType) {
        beginStream(contentType, Map.of());
    }

    /**
     * Starts a streamed response with status 200.
     *
     * @param contentType the content type of the body
     * @param additionalHeaders additional headers
     */
    public void beginStream(String contentType, Map<String, String> additionalHeaders) {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        additionalHeaders.forEach((name, value) -> response.headers().set(name, value));
        announceClose(response.headers());
        channel.writeAndFlush(response);
    }

    private void announceClose(HttpHeaders responseHeaders) {
        if (announcesClose.getAsBoolean()) {
            closesAfterResponse = true;
        }
        if (closesAfterResponse) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Sends a chunk of a streamed response. The connection of a slow reader is closed to bound the memory used for
     * unsent data. Ignored if the response has ended.
     *
     * @param text the chunk, sent as UTF-8
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

    /** Ends a response started with {@link #beginStream}. */
    public void endStream() {
        if (ended.compareAndSet(false, true)) {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, sent);
        }
    }

    /** Closes the connection before the end of the response, so that the caller detects a truncated response. */
    public void abort() {
        ended.set(true);
        channel.close();
    }

    /**
     * Registers a task to run when the connection is closed.
     *
     * @param task the task to run
     */
    public void onClose(Runnable task) {
        channel.closeFuture().addListener(closed -> task.run());
    }

    boolean isFinished() {
        return ended.get();
    }

    /** Returns the future of the last byte of the response; does not complete if the exchange is aborted. */
    ChannelFuture sent() {
        return sent;
    }

    /** Makes the response the last one on its connection. Must be called before the response is begun. */
    void closeAfterResponse() {
        closesAfterResponse = true;
    }

    boolean closesAfterResponse() {
        return closesAfterResponse;
    }
}
