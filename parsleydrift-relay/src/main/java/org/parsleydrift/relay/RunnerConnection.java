package org.parsleydrift.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.wire.StrictResponseDecoder;

/**
 * One HTTP/1.1 connection to a runner, with one request at a time. Responses are matched by request id, since a
 * duplicate response to an earlier request would otherwise reach the wrong caller. A connection that has received a
 * mismatched or unsolicited byte is not reused.
 */
final class RunnerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = System.getLogger(RunnerConnection.class.getName());

    /** Size that a skipped head is counted with, bytes; that of a short status line. */
    private static final int SKIPPED_HEAD_BYTES = 20;

    /** Size of the slices in which a body is written, bytes. */
    private static final int SLICE_BYTES = 64 << 10;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Maximum number of request ids that are kept; a response that comes later than that is not expected. */
    private static final int MAX_SERVED_IDS = 256;

    private final StrictResponseDecoder decoder = new StrictResponseDecoder();
    private final HeaderNames headerNames;
    private final RuntimeClock clock;
    private final ConnectionPool pool;
    private final String incarnation;
    /** Ids of the latest requests on this connection, oldest first. */
    private final SequencedSet<String> servedIds = new LinkedHashSet<>();

    private Channel channel;
    private long connectedNanos;
    private ChannelFuture written;
    private RunnerRequest request;
    private RunnerResponseListener listener;
    private EmbeddedHeadDetector heads;
    private boolean skipping;
    private int skippedBytes;
    private boolean headSeen;
    /** Whether the head of the response states that the runner has not executed the request and never will. */
    private boolean notExecuted;

    private boolean reusable = true;
    private boolean keepAlive;
    /** Whether the end of the response is that of the connection. */
    private boolean endsWithConnection;

    private int responsesReceived;
    private long idleSinceNanos;
    private Optional<Duration> idleLimit = Optional.empty();

    RunnerConnection(ConnectionPool pool, String incarnation, HeaderNames headerNames, RuntimeClock clock) {
        this.pool = pool;
        this.incarnation = incarnation;
        this.headerNames = headerNames;
        this.clock = clock;
    }

    /** Returns the handlers of the connection's channel, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    String incarnation() {
        return incarnation;
    }

    Optional<Duration> idleLimit() {
        return idleLimit;
    }

    Duration idleTime() {
        return Duration.ofNanos(clock.nanos() - idleSinceNanos);
    }

    /** Returns the time at which the connection was established, ns. */
    long connectedNanos() {
        return connectedNanos;
    }

    boolean isAvailable() {
        return channel != null && channel.isActive() && reusable && listener == null;
    }

    /** Returns whether the connection has served a request with an id, so that responses to it may still come. */
    boolean hasServed(String requestId) {
        return servedIds.contains(requestId);
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a request; from this call on the runner may have started it. */
    void send(RunnerRequest next, RunnerResponseListener receiver) {
        request = next;
        listener = receiver;
        skipping = false;
        skippedBytes = 0;
        headSeen = false;
        notExecuted = false;
        recordServed(next.id());
        HttpMethod method = HttpMethod.valueOf(next.method());
        decoder.expectResponseTo(method);
        written = next.bodyBytes() <= SLICE_BYTES ? writeWhole(next, method) : writeInSlices(next, method);
    }

    private ChannelFuture writeWhole(RunnerRequest next, HttpMethod method) {
        return channel.writeAndFlush(new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                next.target(),
                Unpooled.copiedBuffer(next.body().toArray(byte[][]::new)),
                next.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
    }

    private ChannelFuture writeInSlices(RunnerRequest next, HttpMethod method) {
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, next.target(), next.headers()));
        next.body().stream()
                .flatMap(RunnerConnection::slices)
                .forEach(slice -> channel.write(new DefaultHttpContent(slice)));
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Divides a part of a large body, as the runtime copies each buffer that it writes into direct memory. */
    private static Stream<ByteBuf> slices(byte[] part) {
        return IntStream.iterate(0, offset -> offset < part.length, offset -> offset + SLICE_BYTES)
                .mapToObj(offset -> Unpooled.wrappedBuffer(part, offset, Math.min(SLICE_BYTES, part.length - offset)));
    }

    private void recordServed(String id) {
        servedIds.add(id);
        if (servedIds.size() > MAX_SERVED_IDS) {
            servedIds.removeFirst();
        }
    }

    /** Abandons the request and closes the connection, on which the runner cancels the request. */
    void cancel() {
        listener = null;
        close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connectedNanos = clock.nanos();
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.remove(this);
        loseConnection("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reusable = false;
        loseConnection("connection failed: " + cause.getMessage());
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            processPart((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (listener == null && decoder.hasUndecodedBytes()) {
            closeUnsolicited();
        }
        context.fireChannelReadComplete();
    }

    private void processPart(HttpObject part) {
        if (listener == null) {
            closeUnsolicited();
            return;
        }
        if (part.decoderResult().isFailure()) {
            reject(
                    IrregularResponse.MALFORMED,
                    "not HTTP: " + part.decoderResult().cause().getMessage());
            return;
        }
        if (part instanceof HttpResponse response) {
            processHead(response);
        }
        if (part instanceof HttpContent content && listener != null) {
            processContent(content);
        }
    }

    private void processHead(HttpResponse response) {
        Optional<String> fault = ResponseHead.fault(response, headerNames);
        if (fault.isPresent()) {
            reject(IrregularResponse.AMBIGUOUS, fault.get());
            return;
        }
        heads = new EmbeddedHeadDetector(headerNames, response.headers(), servedIds::contains);
        int status = response.status().code();
        skipping = status < 200 || !matchesRequest(response.headers());
        if (skipping) {
            skip(SKIPPED_HEAD_BYTES);
            if (status >= 200) {
                reusable = false;
                pool.recordIrregular(IrregularResponse.OTHER_REQUEST);
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("answer_of_other_request_skipped")
                                .with("request", request.id())
                                .with("answer_for", response.headers().get(headerNames.requestId()))
                                .with("runner", incarnation)
                                .with("status", status)
                                .toString());
            }
            return;
        }
        if (status < 300 && !isAuthenticated(response.headers())) {
            reject(IrregularResponse.UNAUTHENTICATED, "success response without request id or stamp");
            return;
        }
        headSeen = true;
        notExecuted = response.headers().contains(headerNames.requestId())
                && ResponseHead.statesNotExecuted(status, response.headers(), headerNames);
        boolean isHead = HttpMethod.HEAD.name().equals(request.method());
        boolean isBodiless = isHead || status == NO_CONTENT || status == NOT_MODIFIED;
        endsWithConnection =
                !isBodiless && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        // A late duplicate of a response to HEAD has a length but no body, which the next response would be taken for.
        keepAlive = !isHead && !endsWithConnection && HttpUtil.isKeepAlive(response);
        idleLimit = KeepAliveHeader.timeout(response.headers().get("Keep-Alive"));
        listener.onHead(status, response.headers());
    }

    /**
     * Returns whether a response belongs to the current request; without an id, only the first one on a connection can.
     */
    private boolean matchesRequest(HttpHeaders headers) {
        String id = headers.get(headerNames.requestId());
        return id == null ? responsesReceived == 0 && reusable : id.equals(request.id());
    }

    /**
     * Returns whether a response carries the request id and the stamp of the runner. A corrupted head may still parse
     * as a success; it is treated as a failed response, after which a retriable request can be retried.
     */
    private boolean isAuthenticated(HttpHeaders headers) {
        return headers.contains(headerNames.requestId()) && headers.contains(headerNames.stamp());
    }

    private void processContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipContent(content.content());
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            if (heads.detect(copy)) {
                reject(IrregularResponse.CONTAINS_HEAD, "head of another response within the body");
                return;
            }
            listener.onPart(copy);
        }
        if (last && listener != null && headSeen) {
            finish();
        }
    }

    /** Skips the body of another response, which may be cut short and contain the beginning of the expected one. */
    private void skipContent(ByteBuf content) {
        if (heads.detect(ByteBufUtil.getBytes(content))) {
            reject(IrregularResponse.CONTAINS_HEAD, "response swallowed by that to another request");
        } else {
            skip(content.readableBytes());
        }
    }

    private void skip(int bytes) {
        skippedBytes += bytes;
        if (skippedBytes > RelayLimits.MAX_SKIPPED_BYTES) {
            reject(IrregularResponse.NO_RESPONSE, "no response in " + RelayLimits.MAX_SKIPPED_BYTES + " bytes");
        }
    }

    private void finish() {
        if (heads.isCutBy(decoder.undecodedBytes())) {
            reject(IrregularResponse.CONTAINS_HEAD, "body ends within the head of another response");
            return;
        }
        boolean allWritten = written != null && written.isSuccess();
        if (endsWithConnection && !allWritten && !isRejected()) {
            // A failed write consumes the error of a reset, which then looks like a plain end.
            reject(IrregularResponse.INCOMPLETE, "connection ended before the request was written");
            return;
        }
        RunnerResponseListener receiver = listener;
        listener = null;
        responsesReceived++;
        idleSinceNanos = clock.nanos();
        // If the runner responds before the body is fully sent, it would parse the rest of the body as a request.
        if (decoder.hasUndecodedBytes()) {
            closeUnsolicited();
        } else if (reusable && keepAlive && allWritten) {
            pool.release(this);
        } else {
            close();
        }
        receiver.onEnd();
    }

    private void closeUnsolicited() {
        if (!channel.isActive()) {
            return;
        }
        pool.recordIrregular(IrregularResponse.UNSOLICITED);
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("unasked_answer")
                        .with("runner", incarnation)
                        .with("served", responsesReceived)
                        .toString());
        close();
    }

    private void loseConnection(String reason) {
        RunnerResponseListener receiver = listener;
        listener = null;
        if (receiver == null) {
            return;
        }
        if (isRejected()) {
            receiver.onEnd();
        } else {
            receiver.onConnectionLost(reason);
        }
    }

    /**
     * Returns whether the runner has rejected the request. The head alone states it, so the rest of the response may be
     * missing; a runner that begins a second response behind it is not believed.
     */
    private boolean isRejected() {
        return notExecuted && !heads.isWithinHead();
    }

    /** Fails the request, which the runner may have run, and closes the connection. */
    private void reject(IrregularResponse kind, String reason) {
        RunnerResponseListener receiver = listener;
        listener = null;
        pool.recordIrregular(kind);
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("irregular_response")
                        .with("request", request.id())
                        .with("runner", incarnation)
                        .with("kind", kind.label())
                        .with("reason", reason)
                        .with("served", responsesReceived)
                        .toString());
        close();
        receiver.onFailure(true, reason);
    }
}
