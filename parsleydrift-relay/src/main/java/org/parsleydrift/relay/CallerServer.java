package org.parsleydrift.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.registry.CallerLimits;
import org.parsleydrift.wire.NetworkThreads;

/** HTTP server for callers. Not thread-safe; confined to the single network thread. */
public final class CallerServer implements AutoCloseable {

    private static final Duration IDLE_CHECK = Duration.ofMillis(500);
    /** Time in which the network thread reads what had arrived before, also if the process stood still. */
    private static final Duration READ_DELAY = Duration.ofMillis(10);

    private final EventLoop loop;
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
        this.loop = loop;
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
        loop.scheduleWithFixedDelay(IDLE_CHECK, this::closeTimedOutConnections);
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

    /** Stops listening and closes the connections that are between requests, but not before what has arrived is read. */
    public void closeIdleConnections() {
        loop.schedule(READ_DELAY, listener::close);
        closeIfStill(CallerConnection::isIdle);
    }

    /** Responds to all open requests, rejects those that are incomplete, and closes the other connections. */
    public void endRequests() {
        responses.endAll();
        List.copyOf(connections).forEach(CallerConnection::rejectIncomplete);
        closeIfStill(CallerConnection::isIdle);
    }

    /** Closes the connections that have been idle, or a request incomplete, for longer than the limits allow. */
    void closeTimedOutConnections() {
        closeIfStill(each -> each.isTimedOut(limits.get()));
    }

    /** Closes the connections that meet a condition now and after the network thread has read what has arrived. */
    private void closeIfStill(Predicate<CallerConnection> condition) {
        List<CallerConnection> found = connections.stream().filter(condition).toList();
        if (!found.isEmpty()) {
            loop.schedule(
                    READ_DELAY, () -> found.stream().filter(condition).toList().forEach(CallerConnection::close));
        }
    }

    /**
     * Returns whether the server listens. While it does, connections may wait to be accepted.
     *
     * @return false once the listening socket is closed
     */
    public boolean isListening() {
        return listener.isOpen();
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
