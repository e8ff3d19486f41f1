package org.parsleydrift.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.concurrent.TimeUnit;

/** The network threads that all connections of one process share. */
public final class NetworkThreads implements AutoCloseable {
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

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
