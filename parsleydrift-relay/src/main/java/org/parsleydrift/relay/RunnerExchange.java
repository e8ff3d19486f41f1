package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.parsleydrift.registry.Runner;

/** One offer of a request to one runner, from the connection to the end of the answer. */
final class RunnerExchange implements RunnerAnswer {
    private static final int MISDIRECTED = 421;

    private final RelayedRequest request;
    private final Relay relay;
    private final Runner runner;
    private final boolean streaming;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private final EventStreamReader events;
    private RunnerConnection connection;
    private HttpHeaders headers;
    private int status;
    private boolean streamBegun;
    private boolean over;

    RunnerExchange(RelayedRequest request, Relay relay, Runner runner, boolean streaming, boolean keepsData) {
        this.request = request;
        this.relay = relay;
        this.runner = runner;
        this.streaming = streaming;
        this.events = new EventStreamReader(keepsData);
    }

    void start() {
        relay.connections()
                .acquire(runner)
                .whenComplete((acquired, failure) -> relay.loop().execute(() -> connected(acquired, failure)));
    }

    /** Gives the request up; a runner that works on it stops as its connection closes. */
    void cancel() {
        if (connection != null) {
            connection.cancel();
        }
        release();
    }

    String runnerLife() {
        return runner.incarnation();
    }

    /** Whole events of its stream that went to the caller. */
    int eventsPassedOn() {
        return streamBegun ? events.events() : 0;
    }

    boolean streamBegun() {
        return streamBegun;
    }

    private void connected(RunnerConnection acquired, Throwable failure) {
        if (over) {
            if (acquired != null) {
                relay.connections().idle(acquired);
            }
            return;
        }
        if (failure != null) {
            relay.dispatcher().health(runner.incarnation()).recordConnectFailure(now());
            release();
            request.notRun(runner, "no connection");
            return;
        }
        if (!relay.registry().isUsable(runner)) {
            relay.connections().idle(acquired);
            release();
            request.notRun(runner, "runner left meanwhile");
            return;
        }
        connection = acquired;
        acquired.send(request.runnerRequest(runner), this);
    }

    @Override
    public void head(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
        if (streaming && status == 200) {
            streamBegun = true;
            request.caller().beginStream(status, ForwardedHeaders.toCaller(headers));
        }
    }

    @Override
    public void part(byte[] bytes) {
        if (over) {
            return;
        }
        if (!streamBegun) {
            held.writeBytes(bytes);
            if (held.size() > RelayLimits.MOST_HELD_BYTES) {
                connection.cancel();
                broken(true, "answer too large");
            }
            return;
        }
        byte[] whole = events.take(bytes);
        if (events.outOfOrder()) {
            connection.cancel();
            broken(true, "event ids out of order");
        } else if (whole.length > 0) {
            request.caller().events(whole);
        }
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        over = true;
        deliver();
        relay.dispatcher().finished(runner.incarnation());
    }

    @Override
    public void broken(boolean mayHaveRun, String reason) {
        if (over) {
            return;
        }
        over = true;
        relay.dispatcher().health(runner.incarnation()).recordBrokenResponse(now());
        if (streamBegun) {
            request.streamBroken(reason);
        } else if (mayHaveRun) {
            request.unknown(runner, reason);
        } else {
            request.notRun(runner, reason);
        }
        relay.dispatcher().finished(runner.incarnation());
    }

    private void release() {
        if (!over) {
            over = true;
            relay.dispatcher().finished(runner.incarnation());
        }
    }

    private void deliver() {
        boolean notExecuted = headers.contains(relay.dialect().notExecuted()) || status == MISDIRECTED;
        if (notExecuted) {
            request.notRun(runner, "runner says not executed, status " + status);
            return;
        }
        relay.dispatcher().health(runner.incarnation()).recordSuccess();
        if (streamBegun) {
            if (events.sound()) {
                request.streamEnded(runner, events);
            } else {
                request.streamBroken("runner stopped within an event");
            }
        } else if (promisesNotRun()) {
            // The runner did not say that it has not run the request, so its status would be a false promise here.
            request.unknown(runner, "runner's status " + status);
        } else {
            request.answered(runner, status, headers, held.toByteArray());
        }
    }

    private boolean promisesNotRun() {
        return status == 503 || status == 429 || status == 408;
    }

    private long now() {
        return relay.loop().clock().nanos();
    }
}
