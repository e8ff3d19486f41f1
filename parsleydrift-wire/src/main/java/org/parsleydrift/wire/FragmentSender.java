package org.parsleydrift.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.parsleydrift.kernel.LogLine;

/**
 * Sends the large frames of one outgoing connection in fragments, as fast as the connection takes them, so that small
 * frames overtake them. Peers of an earlier version do not announce that they accept fragments; they get whole frames, up
 * to the size that they accept. Confined to the network thread of the connection, except where stated.
 */
final class FragmentSender extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = System.getLogger(FragmentSender.class.getName());
    /** Time within which a peer announces that it accepts fragments: a round trip, with a margin. */
    private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofMillis(100);

    private enum Peer {
        UNKNOWN,
        ACCEPTS_FRAGMENTS,
        ACCEPTS_WHOLE_FRAMES
    }

    private final int maxWholeFrameBytes;
    private final int maxQueuedBytes;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private Iterator<ByteBuf> current = Collections.emptyIterator();
    private ChannelHandlerContext context;
    private Peer peer = Peer.UNKNOWN;
    private boolean timeoutScheduled;
    private long queuedBytes;

    /**
     * Creates a sender.
     *
     * @param maxWholeFrameBytes size of the largest frame that a peer accepts which accepts no fragments, bytes
     * @param maxQueuedBytes total size of the frames that wait, beyond which further ones are dropped, bytes
     */
    FragmentSender(int maxWholeFrameBytes, int maxQueuedBytes) {
        this.maxWholeFrameBytes = maxWholeFrameBytes;
        this.maxQueuedBytes = maxQueuedBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Sends a large frame. May be called on any thread. */
    void send(byte[] frame) {
        if (context.executor().inEventLoop()) {
            enqueue(frame);
        } else {
            context.executor().execute(() -> enqueue(frame));
        }
    }

    /** Records that the peer has announced that it accepts fragments. */
    void recordAnnouncement() {
        if (peer == Peer.UNKNOWN) {
            peer = Peer.ACCEPTS_FRAGMENTS;
            sendQueued();
        }
    }

    private void enqueue(byte[] frame) {
        if (queuedBytes + frame.length > maxQueuedBytes) {
            logDropped(frame, "the frames that wait for the connection exceed the limit", maxQueuedBytes);
            return;
        }
        queue.addLast(frame);
        queuedBytes += frame.length;
        if (peer == Peer.UNKNOWN && !timeoutScheduled) {
            timeoutScheduled = true;
            context.executor().schedule(this::endAnnouncement, ANNOUNCEMENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
        sendQueued();
    }

    private void endAnnouncement() {
        if (peer == Peer.UNKNOWN) {
            peer = Peer.ACCEPTS_WHOLE_FRAMES;
            sendQueued();
        }
    }

    private void sendQueued() {
        boolean sent = false;
        while (peer != Peer.UNKNOWN && context.channel().isWritable() && sendNext()) {
            sent = true;
        }
        if (sent) {
            context.flush();
        }
    }

    /** Writes the next fragment, or a whole frame to a peer that accepts no fragments; returns false if there is none. */
    private boolean sendNext() {
        if (current.hasNext()) {
            context.write(current.next());
            return true;
        }
        byte[] frame = queue.pollFirst();
        if (frame == null) {
            return false;
        }
        queuedBytes -= frame.length;
        if (peer == Peer.ACCEPTS_FRAGMENTS) {
            current = Fragments.of(frame).iterator();
        } else if (frame.length <= maxWholeFrameBytes) {
            context.write(Unpooled.wrappedBuffer(frame));
        } else {
            logDropped(frame, "the peer's version accepts no larger frame", maxWholeFrameBytes);
        }
        return true;
    }

    private void logDropped(byte[] frame, String reason, int limit) {
        LOG.log(
                Logger.Level.WARNING,
                () -> LogLine.of("frame_dropped")
                        .with("to", context.channel().remoteAddress())
                        .with("bytes", frame.length)
                        .with("limit", limit)
                        .with("reason", reason)
                        .toString());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        sendQueued();
        changed.fireChannelWritabilityChanged();
    }
}
