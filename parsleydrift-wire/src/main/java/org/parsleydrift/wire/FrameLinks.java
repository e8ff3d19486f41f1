package org.parsleydrift.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.ReferenceCountUtil;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleydrift.kernel.LogLine;

/**
 * One-way frames between nodes over TCP: four bytes of length, then the frame. Each node opens one connection to each
 * peer it sends to. Delivery is best effort; senders notice loss by timeouts of their own.
 *
 * <p>A connection may go silent for good while new ones work. The sender can't tell from what it hears, since answers come
 * on another connection; so each receiver acknowledges, and a sender that hears no acknowledgement opens a new connection
 * with its next frame.
 */
public final class FrameLinks implements AutoCloseable {
    private static final Logger LOG = System.getLogger(FrameLinks.class.getName());
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final int MAX_UNSENT_BYTES = 16 << 20;
    /** Time to connect; a peer takes a round trip, one that is gone never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /**
     * Acknowledgements are gathered for this long, ms. Nodes tell each other their loads every 80 to 160 ms: gathered for
     * 50 ms each such frame cost a second one in return, gathered for 300 ms every second to fourth does.
     */
    private static final long ACKNOWLEDGE_MILLIS = 300;
    /** Without an acknowledgement for this long, ms, a connection counts as silent: three times the usual. */
    private static final long SILENT_MILLIS = 1000;

    private final Channel listener;
    private final Bootstrap outbound;
    private final Map<String, ChannelFuture> connections = new ConcurrentHashMap<>();

    /**
     * Starts listening.
     *
     * @param threads the network threads
     * @param host the address to listen on
     * @param port the port, 0 for any
     * @param receiver receives each frame on a network thread; one that throws closes the connection
     */
    public FrameLinks(NetworkThreads threads, String host, int port, Consumer<byte[]> receiver) {
        listener = threads.serverBootstrap()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                                .addLast(new Receiver(receiver));
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        outbound = threads.clientBootstrap(CONNECT_TIMEOUT).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Acknowledgements());
            }
        });
    }

    /**
     * The port it listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Sends a frame, opening a connection if there is none.
     *
     * @param address the peer's link address
     * @param frame its bytes
     */
    public void send(String address, byte[] frame) {
        ChannelFuture connection = connections.compute(
                address,
                (any, known) ->
                        known != null && (!known.isDone() || known.channel().isActive()) ? known : connect(address));
        if (connection.isSuccess()) {
            write(address, connection.channel(), frame);
        } else {
            connection.addListener((ChannelFuture done) -> {
                if (done.isSuccess()) {
                    write(address, done.channel(), frame);
                }
            });
        }
    }

    /**
     * Closes the connection to a peer, so that the next frame opens a new one: a connection that something between the
     * two ends has lost track of stays silent for ever, while a new one works.
     *
     * @param address the peer's link address
     */
    public void reset(String address) {
        ChannelFuture known = connections.remove(address);
        if (known != null) {
            known.channel().close();
        }
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        connections.values().forEach(known -> known.channel().close());
    }

    private ChannelFuture connect(String address) {
        int colon = address.lastIndexOf(':');
        return outbound.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
    }

    private void write(String address, Channel channel, byte[] frame) {
        var unsent = channel.unsafe().outboundBuffer();
        if (unsent != null && unsent.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
            reset(address);
            return;
        }
        Acknowledgements acknowledgements = channel.pipeline().get(Acknowledgements.class);
        if (acknowledgements != null && acknowledgements.missing(channel)) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("link_silent").with("to", address).toString());
            reset(address);
            send(address, frame);
            return;
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }

    /** What the other end of an outgoing connection has acknowledged. */
    private static final class Acknowledgements extends ChannelInboundHandlerAdapter {
        private static final long NONE = Long.MIN_VALUE;

        private volatile long unacknowledgedSince = NONE;

        /** Notes a write; gives whether an earlier one has gone without an acknowledgement for too long. */
        private boolean missing(Channel channel) {
            long now = channel.eventLoop().ticker().nanoTime();
            long since = unacknowledgedSince;
            if (since == NONE) {
                unacknowledgedSince = now;
                return false;
            }
            return now - since > TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            unacknowledgedSince = NONE;
        }

        /** A peer that is killed resets what it had open; taken by nobody, each costs a stack trace of thirty lines. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("link_lost")
                            .with("to", context.channel().remoteAddress())
                            .with("reason", cause.getMessage())
                            .toString());
            context.close();
        }
    }

    /** Hands frames on; one connection's bad frame disturbs no other connection. */
    private static final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<byte[]> receiver;
        private boolean acknowledging;

        private Receiver(Consumer<byte[]> receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            if (!acknowledging) {
                acknowledging = true;
                context.executor().schedule(() -> acknowledge(context), ACKNOWLEDGE_MILLIS, TimeUnit.MILLISECONDS);
            }
            receiver.accept(bytes);
        }

        private void acknowledge(ChannelHandlerContext context) {
            acknowledging = false;
            context.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {1}));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("link_closed")
                            .with("from", context.channel().remoteAddress())
                            .failure(cause)
                            .toString());
            context.close();
        }
    }
}
