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

/** The network threads that all connections of one process share. */
public final class NetworkThreads implements AutoCloseable {
    /** Connections that may wait to be accepted; a full queue costs the other side seconds. */
    private static final int BACKLOG = 1024;

    private final EventLoopGroup group;

    static {
        // Netty would look for three log libraries that are not there, at each start of a process.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * Starts threads.
     *
     * @param name the start of their names
     * @param count how many
     */
    public NetworkThreads(String name, int count) {
        group = new MultiThreadIoEventLoopGroup(count, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /**
     * The event loops.
     *
     * @return the group
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * What all listeners share; a caller adds how a connection is set up, and binds.
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
     * What all outgoing connections share; a caller adds how a connection is set up, and connects.
     *
     * @param timeout how long the other side may take to accept
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
