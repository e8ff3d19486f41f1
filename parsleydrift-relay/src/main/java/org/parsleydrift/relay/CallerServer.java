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

/** HTTP server for callers. Not thread-safe; confined to the single network thread. */
public final class CallerServer implements AutoCloseable {

    private static final Duration IDLE_CHECK = Duration.ofMillis(500);

    private final Supplier<CallerLimits> limits;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Channel listener;
    private final Owner owner = new Owner();
    private final OwedResponses responses;
    private boolean draining;

    /**
     * Starts listening.
     *
     * @param threads the network threads, of which there must be one
     * @param loop the event loop of that thread
     * @param address address to listen on; port 0 for a free one
     * @param relay handler of the requests
     * @param limits supplies the limits currently in force
     */
    public CallerServer(
            NetworkThreads threads,
            EventLoop loop,
            InetSocketAddress address,
            Relay relay,
            Supplier<CallerLimits> limits) {
        this.limits = limits;
        this.responses = relay.owedResponses();
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
     * Returns the local port of the listening socket.
     *
     * @return the port, also if 0 was requested
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Starts draining: each response from now on carries {@code Connection: close}. */
    public void drain() {
        draining = true;
    }

    /** Stops listening and closes the connections that are between requests. */
    public void closeIdleConnections() {
        listener.close();
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Responds to all open requests, rejects those that are incomplete, and closes the other connections. */
    public void endRequests() {
        responses.endAll();
        List.copyOf(connections).forEach(CallerConnection::endNow);
    }

    /**
     * Returns whether a response is owed to a caller, or a request is being received.
     *
     * @return false if only idle connections are left and those that wait for the caller's close
     */
    public boolean hasOpenRequests() {
        return responses.count() > 0 || connections.stream().anyMatch(CallerConnection::isReceiving);
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections
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
        public boolean isDraining() {
            return draining;
        }

        @Override
        public OwedResponses responses() {
            return responses;
        }

        @Override
        public void connectionOpened(CallerConnection connection) {
            connections.add(connection);
        }

        @Override
        public void connectionClosed(CallerConnection connection) {
            connections.remove(connection);
        }
    }
}
