package org.parsleydrift.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** The network threads shared by all connections of a process. */
public final class NetworkThreads implements AutoCloseable {
    /** Maximum number of connections waiting to be accepted. */
    private static final int BACKLOG = 1024;

    private final EventLoopGroup group;

    static {
        // Avoids the startup cost of Netty's search for other log libraries.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * Creates a group of daemon threads.
     *
     * @param name the prefix of the thread names
     * @param count the number of threads
     */
    public NetworkThreads(String name, int count) {
        group = new MultiThreadIoEventLoopGroup(count, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /**
     * Returns the Netty event loops of these threads.
     *
     * @return the event loop group
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Creates a bootstrap for listening sockets. The caller adds the child handler and binds it.
     *
     * @return a new bootstrap on these threads
     */
    public ServerBootstrap serverBootstrap() {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Creates a bootstrap for outgoing connections. The caller adds the handler and connects it.
     *
     * @param timeout the connect timeout
     * @return a new bootstrap on these threads
     */
    public Bootstrap clientBootstrap(Duration timeout) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
