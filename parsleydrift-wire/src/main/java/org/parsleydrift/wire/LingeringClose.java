package org.parsleydrift.wire;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections whose peer may still be sending. Closing a connection with unread bytes resets it, and a reset can
 * destroy the response on its way. Therefore the connection is shut down for output only, and read and discarded until
 * the peer closes it.
 */
public final class LingeringClose {
    /** Time for which a connection is read after its last response, unless the peer closes it before. */
    private static final Duration LIMIT = Duration.ofSeconds(1);

    private LingeringClose() {}

    /**
     * Closes a connection once its last response is sent, and at once if it cannot be sent.
     *
     * @param sent the future of the last write to the connection
     */
    public static void closeAfter(ChannelFuture sent) {
        sent.addListener((ChannelFuture done) -> {
            if (done.isSuccess() && done.channel() instanceof DuplexChannel duplex) {
                linger(duplex);
            } else {
                done.channel().close();
            }
        });
    }

    private static void linger(DuplexChannel channel) {
        var limit = channel.eventLoop().schedule((Runnable) channel::close, LIMIT.toNanos(), TimeUnit.NANOSECONDS);
        channel.closeFuture().addListener(closed -> limit.cancel(false));
        channel.pipeline().addFirst(new Discard());
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
    }

    private static final class Discard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
