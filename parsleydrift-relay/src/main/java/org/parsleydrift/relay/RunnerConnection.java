package org.parsleydrift.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * One connection to a runner, one request at a time. An answer is taken only if it bears the request's id: a second
 * answer to an earlier request may come first, and would be taken for another caller's. A connection that gave bytes
 * nobody asked for is never used again.
 */
final class RunnerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = System.getLogger(RunnerConnection.class.getName());

    private final HeaderNames dialect;
    private final RuntimeClock clock;
    private final IdleConnections pool;
    private final String runnerLife;
    private Channel channel;
    private ChannelFuture written;
    private RunnerRequest request;
    private RunnerAnswer answer;
    private boolean skipping;
    private boolean headSeen;
    private boolean reusable = true;
    private boolean keepAlive;
    private boolean resetSeen;
    private int served;
    private long idleSinceNanos;
    private Optional<Duration> idleLimit = Optional.empty();

    RunnerConnection(IdleConnections pool, String runnerLife, HeaderNames dialect, RuntimeClock clock) {
        this.pool = pool;
        this.runnerLife = runnerLife;
        this.dialect = dialect;
        this.clock = clock;
    }

    String runnerLife() {
        return runnerLife;
    }

    Optional<Duration> idleLimit() {
        return idleLimit;
    }

    Duration idleFor() {
        return Duration.ofNanos(clock.nanos() - idleSinceNanos);
    }

    boolean open() {
        return channel != null && channel.isActive() && reusable && answer == null;
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a request; from here on the runner may begin it. */
    void send(RunnerRequest next, RunnerAnswer receiver) {
        request = next;
        answer = receiver;
        skipping = false;
        headSeen = false;
        var message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(next.method()),
                next.target(),
                Unpooled.wrappedBuffer(next.body()),
                next.headers(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        written = channel.writeAndFlush(message);
    }

    /** Gives the request up: a runner drops a request whose connection closes. */
    void cancel() {
        answer = null;
        close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail(resetSeen ? "connection reset" : "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        resetSeen = true;
        reusable = false;
        fail("connection failed: " + cause.getMessage());
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            take((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void take(HttpObject part) {
        if (answer == null) {
            unasked();
            return;
        }
        if (part.decoderResult().isFailure()) {
            reusable = false;
            fail("not HTTP: " + part.decoderResult().cause().getMessage());
            close();
            return;
        }
        if (part instanceof HttpResponse response) {
            takeHead(response);
        }
        if (part instanceof HttpContent content && answer != null) {
            takeContent(content);
        }
    }

    private void takeHead(HttpResponse response) {
        int status = response.status().code();
        skipping = status < 200 || !ours(response.headers());
        if (skipping) {
            if (status >= 200) {
                reusable = false;
                LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("answer_of_other_request_skipped")
                                .with("request", request.id())
                                .with("answer_for", response.headers().get(dialect.requestId()))
                                .with("runner", runnerLife)
                                .with("status", status)
                                .toString());
            }
            return;
        }
        if (status < 300 && !proven(response.headers())) {
            reusable = false;
            fail("a success without the request's id or the runner's stamp");
            close();
            return;
        }
        headSeen = true;
        keepAlive = HttpUtil.isKeepAlive(response)
                && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
        idleLimit = KeepAliveHeader.seconds(response.headers().get("Keep-Alive"));
        answer.head(status, response.headers());
    }

    /** Without an id an answer is ours only if nothing else was ever asked here. */
    private boolean ours(HttpHeaders headers) {
        String id = headers.get(dialect.requestId());
        return id == null ? served == 0 && reusable : id.equals(request.id());
    }

    /**
     * A runner that spoils its answers may send a head that parses but has lost its headers. Passed on, the caller would
     * take bytes of unknown origin for a success; taken as broken, the request may be sent again where it may repeat.
     */
    private boolean proven(HttpHeaders headers) {
        return headers.contains(dialect.requestId()) && headers.contains(dialect.stamp());
    }

    private void takeContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            answer.part(copy);
        }
        if (last && answer != null && headSeen) {
            finish();
        }
    }

    private void finish() {
        RunnerAnswer receiver = answer;
        if (resetSeen) {
            fail("reset before the end");
            return;
        }
        answer = null;
        served++;
        idleSinceNanos = clock.nanos();
        // A runner may answer before it has read the whole body; what it has not read would be taken for a request.
        boolean allWritten = written != null && written.isSuccess();
        if (reusable && keepAlive && allWritten) {
            pool.idle(this);
        } else {
            close();
        }
        receiver.end();
    }

    private void unasked() {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("unasked_answer")
                        .with("runner", runnerLife)
                        .with("served", served)
                        .toString());
        close();
    }

    private void fail(String reason) {
        RunnerAnswer receiver = answer;
        answer = null;
        if (receiver != null) {
            receiver.broken(true, reason);
        }
    }
}
