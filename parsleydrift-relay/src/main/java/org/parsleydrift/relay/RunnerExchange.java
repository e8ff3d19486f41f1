package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.speed.RunnerObservation;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;

/** One attempt to run a request at one runner, from acquiring a connection to the end of the response. */
final class RunnerExchange implements RunnerResponseListener {
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_NOT_SUCCESSFUL = 300;

    private final RelayedRequest request;
    private final Relay relay;
    private final Candidate chosen;
    private final Runner runner;
    private final int attempt;
    private final boolean streaming;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private final EventStreamReader events;
    private Optional<RunnerObservation> observation = Optional.empty();
    private RunnerConnection connection;
    private HttpHeaders headers;
    private int status;
    /** Time at which the runner was last heard in this exchange, ns; at first the time of sending. */
    private long heardNanos;

    private boolean streamBegun;
    private boolean ended;

    RunnerExchange(RelayedRequest request, Relay relay, Candidate chosen, int attempt, Route route) {
        this.request = request;
        this.relay = relay;
        this.chosen = chosen;
        this.runner = chosen.runner();
        this.attempt = attempt;
        this.streaming = route.isStreaming();
        this.events = new EventStreamReader(route.stateful(), request.lastEventId(), request.maxEvents());
    }

    void start() {
        if (request.work().needsReservation(runner)) {
            request.work().reserve(runner).thenAccept(this::handleReservation);
        } else {
            connect();
        }
    }

    private void handleReservation(RunnerReservation result) {
        if (ended) {
            request.work().release(runner);
            return;
        }
        switch (result) {
            case GRANTED -> connect();
            case AT_LIMIT -> {
                releaseSlot();
                request.handleNotRun(runner, "too many runners were lost under the same work");
            }
            case UNDER_WAY -> {
                releaseSlot();
                request.apply(new RequestEvent.RunnerUnreserved("other attempts at the same work are under way"));
            }
            case UNKNOWN -> {
                releaseSlot();
                request.apply(new RequestEvent.RunnerUnreserved(
                        "store VMs did not tell which runners were lost under the same work"));
            }
        }
    }

    private void connect() {
        relay.connections()
                .acquire(runner, request.id())
                .whenComplete((acquired, failure) -> relay.loop().execute(() -> handleConnected(acquired, failure)));
    }

    /** Cancels the attempt; closing the connection makes the runner cancel the request. */
    void cancel() {
        if (connection != null) {
            connection.cancel();
            if (!ended) {
                request.work().recordSilence(progress(), Duration.ofNanos(nowNanos() - heardNanos));
            }
        }
        observation.ifPresent(each -> each.fail(nowNanos()));
        releaseSlot();
    }

    /** Returns whether the request was written to the runner, which may have started it. */
    boolean isSent() {
        return connection != null;
    }

    Runner runner() {
        return runner;
    }

    /** Returns the number of complete events forwarded to the caller. */
    int forwardedEvents() {
        return streamBegun ? events.eventCount() : 0;
    }

    private RequestWork.Progress progress() {
        return new RequestWork.Progress(runner, attempt, headers != null, forwardedEvents());
    }

    boolean streamBegun() {
        return streamBegun;
    }

    private void handleConnected(RunnerConnection acquired, Throwable failure) {
        if (ended) {
            if (acquired != null) {
                relay.connections().release(acquired);
            }
            request.work().release(runner);
            return;
        }
        if (failure != null) {
            relay.dispatcher().health(runner.incarnation()).recordConnectFailure(nowNanos());
            relay.losses().recordUnreachable(runner);
            request.work().release(runner);
            releaseSlot();
            request.handleNotRun(runner, "connection to runner failed");
            return;
        }
        if (!relay.registry().isUsable(runner)) {
            relay.connections().release(acquired);
            request.work().release(runner);
            releaseSlot();
            request.handleNotRun(runner, "runner no longer accepts requests");
            return;
        }
        if (!acquired.isAvailable()) {
            // The runner has closed the connection since it was acquired.
            connect();
            return;
        }
        connection = acquired;
        heardNanos = nowNanos();
        observation = Optional.of(relay.dispatcher()
                .speeds()
                .begin(runner, streaming, chosen.uncachedTokens(), chosen.load(), nowNanos()));
        acquired.send(request.runnerRequest(runner), this);
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        heardNanos = nowNanos();
        status = newStatus;
        headers = newHeaders;
        if (status != MISDIRECTED) {
            relay.losses().recordResponse(runner, connection.connectedNanos());
        }
        if (streaming && status == 200) {
            streamBegun = true;
            request.response().beginStream(status, ForwardedHeaders.toCaller(headers));
        }
    }

    @Override
    public void onPart(byte[] bytes) {
        if (ended) {
            return;
        }
        heardNanos = nowNanos();
        if (!streamBegun) {
            buffer(bytes);
            return;
        }
        byte[] complete = events.parse(bytes);
        observation.ifPresent(each -> each.recordEvents(events.eventCount(), nowNanos()));
        if (events.isOutOfOrder()) {
            connection.cancel();
            onFailure(true, "event ids out of order");
            return;
        }
        if (complete.length > 0) {
            request.binding().recordFirstEvent(runner);
            request.response().sendEvents(complete);
        }
        if (events.isBeyondLimit()) {
            connection.cancel();
            onFailure(true, "more events than the turn may generate");
        } else if (events.isWithoutProgress()) {
            connection.cancel();
            onFailure(true, "no event in " + RelayLimits.MAX_EVENT_BYTES + " bytes");
        }
    }

    private void buffer(byte[] bytes) {
        if (buffered.size() + bytes.length > RelayLimits.MAX_BUFFERED_BYTES) {
            connection.cancel();
            onFailure(true, "response larger than " + RelayLimits.MAX_BUFFERED_BYTES + " bytes");
        } else if (!relay.responseBuffers().reserve(bytes.length)) {
            connection.cancel();
            onFailure(true, "no memory for buffering the response");
        } else {
            buffered.writeBytes(bytes);
        }
    }

    private void releaseBuffer() {
        relay.responseBuffers().release(buffered.size());
        buffered.reset();
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        ended = true;
        deliver();
        releaseBuffer();
        relay.dispatcher().releaseSlot(request, runner.incarnation());
    }

    @Override
    public void onFailure(boolean mayHaveRun, String reason) {
        if (ended) {
            return;
        }
        if (mayHaveRun) {
            request.work().recordBroken(progress(), reason);
        } else {
            request.work().release(runner);
        }
        endBroken(mayHaveRun, reason);
    }

    private void endBroken(boolean mayHaveRun, String reason) {
        ended = true;
        releaseBuffer();
        observation.ifPresent(each -> endObservation(each, mayHaveRun, false));
        relay.dispatcher().health(runner.incarnation()).recordBrokenResponse(nowNanos());
        if (streamBegun) {
            request.abortStream(reason);
        } else if (mayHaveRun) {
            request.handleUnknown(runner, reason);
        } else {
            request.handleNotRun(runner, reason);
        }
        relay.dispatcher().releaseSlot(request, runner.incarnation());
    }

    @Override
    public void onConnectionLost(String reason) {
        if (!ended) {
            request.work().recordLost(progress(), reason);
            endBroken(true, reason);
        }
    }

    private void releaseSlot() {
        if (!ended) {
            ended = true;
            releaseBuffer();
            relay.dispatcher().releaseSlot(request, runner.incarnation());
        }
    }

    private void deliver() {
        boolean notExecuted = ResponseHead.statesNotExecuted(status, headers, relay.headerNames());
        boolean successful = status < FIRST_NOT_SUCCESSFUL && (!streamBegun || events.isWellFormed());
        observation.ifPresent(each -> endObservation(each, !notExecuted, successful));
        if (notExecuted) {
            if (status == UNAVAILABLE) {
                relay.dispatcher().recordRejection(runner);
            }
            request.work().release(runner);
            request.handleNotRun(runner, "runner reported not executed, status " + status);
            return;
        }
        if (streamBegun && !events.isWellFormed()) {
            // The end of a response without length is that of its connection.
            relay.dispatcher().health(runner.incarnation()).recordBrokenResponse(nowNanos());
            request.work().recordBroken(progress(), "end within an event");
            request.abortStream("runner stopped within an event");
            return;
        }
        relay.dispatcher().health(runner.incarnation()).recordSuccess();
        relay.losses().recordAnswer(runner, connection.connectedNanos());
        if (successful) {
            request.work().recordCompleted(runner);
        } else {
            request.work().release(runner);
        }
        if (streamBegun) {
            request.commitStream(runner, events);
        } else if (impliesNotRun()) {
            // Callers take these statuses as "not run", which the runner has not confirmed.
            request.handleUnknown(runner, "runner did not confirm that the request was not executed, status " + status);
        } else {
            request.completeResponse(runner, status, headers, buffered.toByteArray());
        }
    }

    /** Ends the observation of the runner's speed; only complete successful responses may count as fast. */
    private void endObservation(RunnerObservation observed, boolean mayHaveRun, boolean successful) {
        if (!mayHaveRun) {
            observed.discard();
        } else if (successful) {
            observed.complete(nowNanos());
        } else {
            observed.fail(nowNanos());
        }
    }

    private boolean impliesNotRun() {
        return status == UNAVAILABLE || status == 429 || status == 408;
    }

    private long nowNanos() {
        return relay.loop().clock().nanos();
    }
}
