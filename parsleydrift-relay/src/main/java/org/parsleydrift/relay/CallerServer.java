package org.parsleydrift.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.wire.NetworkThreads;

/** Listens for callers. Confined to the one network thread. */
public final class CallerServer implements AutoCloseable {

    private static final Duration IDLE_CHECK = Duration.ofMillis(500);

    private final Supplier<CallerLimits> limits;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Channel listener;
    private final Owner owner = new Owner();
    private boolean draining;

    /**
     * Starts listening.
     *
     * @param threads the network threads; one
     * @param loop the loop on that thread
     * @param address IP and port
     * @param relay serves the requests
     * @param limits limits in force
     */
    public CallerServer(
            NetworkThreads threads,
            EventLoop loop,
            InetSocketAddress address,
            Relay relay,
            Supplier<CallerLimits> limits) {
        this.limits = limits;
        this.listener = threads.serverBootstrap()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new StrictRequestDecoder(limits.get().maxHeaderBytes()))
                                .addLast(new HttpResponseEncoder())
                                .addLast(new CallerConnection(relay, owner, loop.clock()));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(
                IDLE_CHECK, () -> List.copyOf(connections).forEach(each -> each.checkIdle(limits.get())));
    }

    /**
     * The port it listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** From now on each answer announces that its connection closes. */
    public void drain() {
        draining = true;
    }

    /** Takes no new connections and closes those between requests. */
    public void closeIdleConnections() {
        listener.close();
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Open connections.
     *
     * @return their number
     */
    public int openConnections() {
        return connections.size();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private final class Owner implements ConnectionOwner {
        @Override
        public CallerLimits limits() {
            return limits.get();
        }

        @Override
        public boolean draining() {
            return draining;
        }

        @Override
        public void opened(CallerConnection connection) {
            connections.add(connection);
        }

        @Override
        public void closed(CallerConnection connection) {
            connections.remove(connection);
        }
    }
}
