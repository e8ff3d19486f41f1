package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpHandler;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkThreads;

/**
 * Stand-in runner of one software version. A turn is a stream of events that name the version; like the users' runners it
 * goes on after any {@code Last-Event-Id}, whatever version began the stream. A call is answered at once. Its process ends
 * under requests whose path contains {@link #ENDING}, in the way that the path names.
 */
final class VersionedRunner implements HttpHandler, AutoCloseable {
    /** Number of events of a stream. */
    static final int EVENTS = 8;

    /** Part of the paths of requests under which runners end. */
    static final String ENDING = "ending-";
    /** Beginning of the paths of turns of stored conversations. */
    static final String STORED = "/chains/";
    /** Beginning of the paths of calls. */
    static final String CALLS = "/calls/";
    /** Path of health checks. */
    static final String HEALTH = "/healthz";

    private static final Duration STEP = Duration.ofMillis(60);
    private static final int MAX_CONNECTIONS = 512;
    /** Size of the longest conversation that is accepted, bytes. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    private static final int SLOTS = 8;
    private static final String TEXT = "text/plain";
    /** Time for which connections other than that of the request answer after {@link RunnerEnd#LISTENER_FIRST}. */
    private static final Duration LATE_CONNECTIONS = Duration.ofMillis(700);

    private final String id;
    private final String version;
    private final EventLoop loop;
    private final Listener listener;
    private final NetworkThreads threads;
    private final HttpServer server;
    private int running;
    private volatile boolean ready = true;
    private volatile boolean ended;
    private SilentListener silentListener;

    /** Receives the requests that runners begin to run. Its methods must not block. */
    interface Listener {
        /** Called when a runner ends under a request with the given path. */
        void onEnding(VersionedRunner runner, String path, RunnerEnd end);

        /** Called when a runner begins a turn of a stored conversation. */
        void onTurn(String request, String body);
    }

    /**
     * Starts a runner on a free port of the loopback interface.
     *
     * @param id id of this incarnation
     * @param version version of its software
     * @param loop event loop for its timers
     * @param listener receives the requests that the runner begins to run
     */
    VersionedRunner(String id, String version, EventLoop loop, Listener listener) {
        this(id, version, 0, loop, listener);
    }

    /**
     * Starts a runner on a port of the loopback interface.
     *
     * @param id id of this incarnation
     * @param version version of its software
     * @param port port to listen on; 0 for a free one
     * @param loop event loop for its timers
     * @param listener receives the requests that the runner begins to run
     */
    VersionedRunner(String id, String version, int port, EventLoop loop, Listener listener) {
        this.listener = listener;
        this.id = id;
        this.version = version;
        this.loop = loop;
        this.threads = new NetworkThreads(id, 1);
        this.server = new HttpServer(threads, "127.0.0.1", port, MAX_CONNECTIONS, MAX_BODY_BYTES, this);
    }

    int port() {
        return server.port();
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    /** Returns whether the runner accepts new requests. */
    boolean isReady() {
        return ready;
    }

    void setDraining() {
        ready = false;
    }

    /** Returns the runner's entry at the platform. */
    String entry() {
        return """
                {"service": "desk", "address": "127.0.0.1:%d", "zone": "a", "version": "%s", "seq": 1,
                 "cold_left_ms": 0, "slots": %d, "state": "%s"}
                """.formatted(server.port(), version, SLOTS, ready ? "ready" : "draining");
    }

    @Override
    public void handle(HttpExchange exchange) {
        loop.execute(() -> serve(exchange));
    }

    private void serve(HttpExchange exchange) {
        if (ended) {
            return;
        }
        String request = exchange.header("X-Attempt-Id", "");
        if (!exchange.header("X-Expect-Instance", id).equals(id)) {
            exchange.respond(421, TEXT, "", headers(request));
        } else if (running >= SLOTS) {
            exchange.respond(503, TEXT, "", Map.of("X-Attempt-Id", request, "X-Not-Executed", "1"));
        } else if (exchange.path().equals(HEALTH)) {
            exchange.respond(200, TEXT, "", Map.of("X-Instance-Id", id));
        } else if (exchange.path().contains(ENDING)) {
            end(exchange, request);
        } else if (exchange.path().startsWith(CALLS)) {
            exchange.respond(200, TEXT, "", headers(request));
        } else {
            running++;
            if (exchange.path().startsWith(STORED)) {
                listener.onTurn(request, exchange.body());
            }
            exchange.beginStream("text/event-stream", headers(request));
            send(exchange, Integer.parseInt(exchange.header("Last-Event-Id", "0")) + 1);
        }
    }

    private void end(HttpExchange exchange, String request) {
        RunnerEnd end = RunnerEnd.of(exchange.path());
        if (end.patience().isPresent()) {
            loop.schedule(end.delay(), () -> endLate(exchange.path(), end));
            return;
        }
        if (end == RunnerEnd.LISTENER_FIRST) {
            ready = false;
            server.close();
            exchange.abort();
            loop.schedule(LATE_CONNECTIONS, this::close);
        } else {
            if (end.isWithinResponse()) {
                beginResponse(exchange, request, end);
            }
            ended = end.isSilent();
        }
        listener.onEnding(this, exchange.path(), end);
    }

    private void beginResponse(HttpExchange exchange, String request, RunnerEnd end) {
        Map<String, String> headers = new HashMap<>(headers(request));
        if (end == RunnerEnd.CLOSED_WITHIN_EVENT) {
            headers.putAll(Map.of("Transfer-Encoding", "identity", "Connection", "close"));
        }
        exchange.beginStream("text/event-stream", headers);
        exchange.write("id: 1\ndata: " + version + "\n\n");
        if (end == RunnerEnd.CLOSED_WITHIN_EVENT) {
            exchange.write("id: 2\ndata: ");
        }
    }

    /** Ends under a request whose caller has left, unless the process has ended meanwhile. */
    private void endLate(String path, RunnerEnd end) {
        if (!ended) {
            listener.onEnding(this, path, end);
        }
    }

    private Map<String, String> headers(String request) {
        return Map.of("X-Attempt-Id", request, "X-Server-Stamp", id + "." + request, "X-Instance-Id", id);
    }

    private void send(HttpExchange exchange, int event) {
        loop.schedule(STEP, () -> {
            if (ended) {
                return;
            }
            if (event > EVENTS) {
                running--;
                exchange.endStream();
            } else {
                exchange.write("id: " + event + "\ndata: " + version + "\n\n");
                send(exchange, event + 1);
            }
        });
    }

    /** Answers nothing more; connections stay open, and new ones are not established. */
    synchronized void fallSilent() throws IOException {
        ready = false;
        ended = true;
        server.close();
        silentListener = new SilentListener(server.port());
    }

    /** Answers nothing more; connections stay open, and new ones are established. */
    void hang() {
        ready = false;
        ended = true;
    }

    /** Frees the address of a silent runner for a successor. */
    synchronized void stopListening() {
        if (silentListener != null) {
            silentListener.close();
            silentListener = null;
        }
    }

    /** Ends all work, then breaks the connections one after the other, as the end of the process does. */
    @Override
    public void close() {
        ready = false;
        ended = true;
        stopListening();
        server.abort();
        threads.close();
    }
}
