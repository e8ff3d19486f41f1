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
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleydrift.kernel.LogLine;

/**
 * Transport of length-prefixed frames between nodes over TCP. Each node opens one connection to each peer that it sends
 * to, and connections carry frames in one direction only. Delivery is best effort; senders detect loss by their own
 * timeouts.
 *
 * <p>A large frame is sent in fragments, between which small frames are sent, so that heartbeats and the requests of other
 * callers do not wait for it. A frame above the size that its receiver accepts is not sent at all, since the receiver would
 * close the connection, which carries the frames of others.
 *
 * <p>Receivers acknowledge frames, so that a sender detects a stalled connection although responses arrive on another
 * one. If an acknowledgement is overdue, the next frame is sent on a new connection.
 */
public final class FrameLinks implements AutoCloseable {
    private static final Logger LOG = System.getLogger(FrameLinks.class.getName());
    private static final int LENGTH_BYTES = 4;
    /** Size of the largest frame that is sent and accepted, bytes. */
    public static final int MAX_FRAME_BYTES = 16 << 20;
    /** Size of the largest frame that peers accept which accept no fragments, as they are of an earlier version, bytes. */
    private static final int MAX_WHOLE_FRAME_BYTES = (4 << 20) - LENGTH_BYTES;

    private static final int MAX_UNSENT_BYTES = 16 << 20;
    private static final byte ACKNOWLEDGEMENT = 1;
    /** Sent by a receiver on each new connection to announce that it accepts fragments. */
    private static final byte ACCEPTS_FRAGMENTS = 2;

    /** A peer accepts a connection within a round trip; one that is gone never answers. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /**
     * Delay of an acknowledgement. Nodes send status frames every 80 to 160 ms: after 50 ms each of them would cost an
     * acknowledgement, after 300 ms every second to fourth does.
     */
    private static final long ACKNOWLEDGEMENT_DELAY_MILLIS = 300;
    /** Time without an acknowledgement after which a connection is replaced: three times the usual delay. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 1000;

    private final NetworkThreads threads;
    private final Consumer<byte[]> receiver;
    private final Bootstrap outbound;
    private final Map<String, ChannelFuture> connections = new ConcurrentHashMap<>();
    private volatile Optional<Channel> listener = Optional.empty();

    /**
     * Creates links that send frames, and receive none until {@link #listen} is called.
     *
     * @param threads the network threads
     * @param receiver receives each frame on a network thread; an exception closes the connection
     */
    public FrameLinks(NetworkThreads threads, Consumer<byte[]> receiver) {
        this.threads = threads;
        this.receiver = receiver;
        outbound = threads.clientBootstrap(CONNECT_TIMEOUT).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new FragmentSender(MAX_WHOLE_FRAME_BYTES, MAX_UNSENT_BYTES))
                        .addLast(new AcknowledgementTracker());
            }
        });
    }

    /**
     * Creates links and starts listening for connections of peers.
     *
     * @param threads the network threads
     * @param host the address to listen on
     * @param port the port to listen on, 0 for any free port
     * @param receiver receives each frame on a network thread; an exception closes the connection
     */
    public FrameLinks(NetworkThreads threads, String host, int port, Consumer<byte[]> receiver) {
        this(threads, receiver);
        listen(host, port);
    }

    /**
     * Starts listening for connections of peers.
     *
     * @param host the address to listen on
     * @param port the port to listen on, 0 for any free port
     */
    public void listen(String host, int port) {
        listener = Optional.of(threads.serverBootstrap()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                                .addLast(new Receiver(receiver));
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel());
    }

    /**
     * Returns the port on which frames are received.
     *
     * @return the port, 1 to 65535
     */
    public int port() {
        return ((InetSocketAddress) listener.orElseThrow().localAddress()).getPort();
    }

    /**
     * Sends a frame and opens a connection to the peer if there is none. The frame is dropped if the connection fails. A
     * small frame may overtake a large one.
     *
     * @param address the peer's link address, host and port
     * @param frame the content of the frame; dropped if it exceeds {@link #MAX_FRAME_BYTES}
     */
    public void send(String address, byte[] frame) {
        if (frame.length > MAX_FRAME_BYTES) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("frame_dropped")
                            .with("to", address)
                            .with("bytes", frame.length)
                            .with("limit", MAX_FRAME_BYTES)
                            .with("reason", "larger than any receiver accepts")
                            .toString());
            return;
        }
        ChannelFuture connection = connections.compute(
                address,
                (any, existing) -> existing != null
                                && (!existing.isDone() || existing.channel().isActive())
                        ? existing
                        : connect(address));
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
     * Closes the connection to a peer, for example one that a middlebox has dropped silently. The next frame opens a
     * new connection.
     *
     * @param address the peer's link address, host and port
     */
    public void reset(String address) {
        ChannelFuture existing = connections.remove(address);
        if (existing != null) {
            existing.channel().close();
        }
    }

    @Override
    public void close() {
        listener.ifPresent(each -> each.close().syncUninterruptibly());
        connections.values().forEach(connection -> connection.channel().close());
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
        AcknowledgementTracker tracker = channel.pipeline().get(AcknowledgementTracker.class);
        if (tracker != null && tracker.isOverdueOnWrite(channel)) {
            afterRead(channel, () -> sendUnlessSilent(address, channel, tracker, frame));
        } else if (frame.length > Fragments.FRAGMENT_BYTES) {
            FragmentSender fragments = channel.pipeline().get(FragmentSender.class);
            if (fragments != null) {
                fragments.send(frame);
            }
        } else if (tracker != null && channel.eventLoop().inEventLoop()) {
            channel.write(Unpooled.wrappedBuffer(frame));
            flushLater(channel, tracker);
        } else {
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
    }

    /** Runs a task once the network thread has read what has arrived, which it may not have done for a while. */
    private static void afterRead(Channel channel, Runnable task) {
        channel.eventLoop()
                .schedule(() -> channel.eventLoop().schedule(task, 0, TimeUnit.NANOSECONDS), 0, TimeUnit.NANOSECONDS);
    }

    /** Sends a frame, on a new connection if the acknowledgement of an earlier one is still overdue. */
    private void sendUnlessSilent(String address, Channel channel, AcknowledgementTracker tracker, byte[] frame) {
        ChannelFuture current = connections.get(address);
        if (current != null && current.channel().equals(channel) && tracker.isOverdueOnWrite(channel)) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("link_silent").with("to", address).toString());
            reset(address);
        }
        send(address, frame);
    }

    /** Flushes once for all frames of one pass of the network thread, such as those that waited for the connection. */
    private static void flushLater(Channel channel, AcknowledgementTracker tracker) {
        if (!tracker.flushScheduled) {
            tracker.flushScheduled = true;
            channel.eventLoop().execute(() -> {
                tracker.flushScheduled = false;
                channel.flush();
            });
        }
    }

    /** Tracks the acknowledgements received on an outgoing connection. */
    private static final class AcknowledgementTracker extends ChannelInboundHandlerAdapter {
        private static final long NONE = Long.MIN_VALUE;

        /** Confined to the network thread. */
        private boolean flushScheduled;

        private volatile long unacknowledgedSince = NONE;

        /** Records a write and returns whether the acknowledgement of an earlier write is overdue. */
        private boolean isOverdueOnWrite(Channel channel) {
            long now = channel.eventLoop().ticker().nanoTime();
            long since = unacknowledgedSince;
            if (since == NONE) {
                unacknowledgedSince = now;
                return false;
            }
            return now - since > TimeUnit.MILLISECONDS.toNanos(ACKNOWLEDGEMENT_TIMEOUT_MILLIS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            unacknowledgedSince = NONE;
            try {
                if (message instanceof ByteBuf bytes
                        && bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), ACCEPTS_FRAGMENTS) >= 0) {
                    context.pipeline().get(FragmentSender.class).recordAnnouncement();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        /** Logs resets by the peer in one line, where Netty would log a stack trace. */
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

    /** Passes received frames on. A malformed frame closes only its own connection. */
    private static final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<byte[]> receiver;
        private final Fragments.Assembler assembler = new Fragments.Assembler(MAX_FRAME_BYTES);
        private boolean acknowledgementScheduled;

        private Receiver(Consumer<byte[]> receiver) {
            this.receiver = receiver;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {ACCEPTS_FRAGMENTS}));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (!acknowledgementScheduled) {
                acknowledgementScheduled = true;
                context.executor()
                        .schedule(
                                () -> sendAcknowledgement(context),
                                ACKNOWLEDGEMENT_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
            if (Fragments.isFragment(frame)) {
                join(context, frame);
            } else {
                byte[] bytes = new byte[frame.readableBytes()];
                frame.readBytes(bytes);
                receiver.accept(bytes);
            }
        }

        private void join(ChannelHandlerContext context, ByteBuf fragment) {
            Optional<byte[]> whole;
            try {
                whole = assembler.add(fragment);
            } catch (IllegalArgumentException invalid) {
                logDiscarded(context, invalid);
                return;
            }
            whole.ifPresent(receiver);
        }

        private static void logDiscarded(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("frame_discarded")
                            .with("from", context.channel().remoteAddress())
                            .failure(cause)
                            .toString());
        }

        private void sendAcknowledgement(ChannelHandlerContext context) {
            acknowledgementScheduled = false;
            context.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {ACKNOWLEDGEMENT}));
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
