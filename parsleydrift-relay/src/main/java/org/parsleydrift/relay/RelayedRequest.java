package org.parsleydrift.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;

/**
 * State machine of one request; its states are the values of {@link RequestStage}. A request has one of three outcomes:
 * <i>not run</i>, reported only if no runner can have started it; the response of a runner; else <i>unknown</i>.
 */
final class RelayedRequest implements QueuedRequest {
    private static final Logger LOG = System.getLogger(RelayedRequest.class.getName());
    private static final String ANSWERED = "answered";
    private static final String DENIED = "denied";
    private static final String QUOTA_EXHAUSTED = "team quota exhausted";

    private final Relay relay;
    private final CallerRequest request;
    private final CallerResponse response;
    private final RequestParameters params;
    private final long startNanos;
    private final QueueWait queueWait;
    private final Attempts attempts = new Attempts();
    private RequestStage stage = RequestStage.MATCHING;
    private long manifestVersion;
    private Route route;
    private RequestTeam team;
    private String service = "";
    private long deadlineNanos;
    private Cancellable deadlineTimer = () -> {};
    private Cancellable manifestTimer = () -> {};
    private Cancellable latencyTimer = () -> {};
    private Optional<TurnRecord> turn = Optional.empty();
    private List<CachedPart> reportedParts = List.of();
    private boolean hasHistory;
    private byte[] body;
    private RunnerExchange exchange;

    RelayedRequest(Relay relay, CallerRequest request, Optional<RequestParameters> params, CallerResponse response) {
        this.relay = relay;
        this.request = request;
        this.response = response;
        this.params = params.orElse(null);
        this.startNanos = relay.loop().clock().nanos();
        this.body = request.body();
        this.team = new RequestTeam(relay, request, Optional.empty(), "");
        this.queueWait = new QueueWait(relay.loop(), relay.dispatcher()::dispatch);
    }

    void start() {
        Optional<RoutingManifest> manifest = relay.registry().manifest();
        if (manifest.isEmpty()) {
            waitForManifest();
            return;
        }
        stage = RequestStage.MATCHING;
        manifestVersion = manifest.get().version();
        boolean current = relay.registry().isManifestCurrent();
        switch (RequestMatch.of(manifest.get(), current, request, params != null, relay.headerNames())) {
            case RequestMatch.Denied denied -> respond(denied.status(), DENIED, denied.reason());
            case RequestMatch.Undetermined result -> refuse(result.reason(), RelayLimits.RETRY_DELAY_OLD_MANIFEST);
            case RequestMatch.Found found -> handleMatch(found);
        }
    }

    private void handleMatch(RequestMatch.Found found) {
        route = found.route();
        team = new RequestTeam(relay, request, found.team(), found.owner());
        service = route.selectDestination(relay.random().nextDouble());
        long timeoutMillis = Math.min(
                route.timeout().toMillis(),
                params.deadlineMillis().orElse(route.timeout().toMillis()));
        deadlineNanos = startNanos + Duration.ofMillis(timeoutMillis).toNanos();
        deadlineTimer = relay.loop().schedule(Duration.ofMillis(leftMillis()), this::handleDeadline);
        Optional<Duration> retryDelay = team.quotaRetryDelay();
        if (retryDelay.isPresent()) {
            refuse(429, QUOTA_EXHAUSTED, retryDelay.get());
        } else if (params.isTurn(route)) {
            beginTurn();
        } else {
            admit();
        }
    }

    private void admit() {
        switch (team.acquireQuota(isInProgress(), !params.program().isEmpty())) {
            case QuotaDecision.Allowed ignored -> enqueue();
            case QuotaDecision.Exceeded exceeded -> refuse(429, QUOTA_EXHAUSTED, exceeded.retryAfter());
            case QuotaDecision.Undetermined ignored ->
                refuse("no usage reports from peers", RelayLimits.RETRY_DELAY_NO_PEERS);
        }
    }

    @Override
    public void manifestChanged() {
        if (stage == RequestStage.QUEUED
                && team.isKeyRevoked()
                && relay.dispatcher().withdraw(this)) {
            rejectRevokedKey();
        }
    }

    /** Ends a queued request whose key was revoked; a manifest that may be outdated does not prove the revocation. */
    private void rejectRevokedKey() {
        if (attempts.mayHaveRun()) {
            respond(502, "unknown", "an earlier attempt may have run; key revoked");
        } else if (relay.registry().isManifestCurrent()) {
            team.refundQuota();
            respond(401, DENIED, "key_taken_away");
        } else {
            refuse("key missing in a manifest that may be outdated", RelayLimits.RETRY_DELAY_OLD_MANIFEST);
        }
    }

    /** Returns whether the request waits for the node's first manifest. */
    boolean isAwaitingManifest() {
        return stage == RequestStage.AWAITING_MANIFEST;
    }

    private void waitForManifest() {
        stage = RequestStage.AWAITING_MANIFEST;
        long remaining = params == null ? 0 : params.deadlineMillis().orElse(RelayLimits.MAX_MANIFEST_WAIT.toMillis());
        long waitMillis =
                Math.min((long) (remaining * RelayLimits.MAX_MANIFEST_SHARE), RelayLimits.MAX_MANIFEST_WAIT.toMillis());
        manifestTimer = relay.loop().schedule(Duration.ofMillis(waitMillis), () -> {
            if (isAwaitingManifest()) {
                refuse("no manifest received yet", RelayLimits.RETRY_DELAY_NO_MANIFEST);
            }
        });
        relay.awaitManifest(this);
    }

    /** Cancels the request after its caller has disconnected; a turn that is being committed is completed. */
    void handleDisconnect() {
        if (stage == RequestStage.ENDED || stage == RequestStage.COMMITTING) {
            return;
        }
        boolean neverAssigned = exchange == null;
        if (exchange != null) {
            exchange.cancel();
        }
        relay.dispatcher().withdraw(this);
        if (neverAssigned) {
            releaseReservation();
            team.refundQuota();
        }
        finish("caller_left", neverAssigned ? "before_offer" : "after_offer");
    }

    @Override
    public String service() {
        return service;
    }

    @Override
    public List<PromptPart> prompt() {
        return params.prompt();
    }

    @Override
    public List<CachedPart> reportedParts() {
        return reportedParts;
    }

    @Override
    public Set<String> excludedRunners() {
        return attempts.excludedRunners();
    }

    @Override
    public boolean acceptsAnyRunner() {
        return queueWait.isNearTimeout();
    }

    @Override
    public int priority() {
        return team.priority(route);
    }

    @Override
    public boolean isInProgress() {
        return !reportedParts.isEmpty()
                || hasHistory
                || (!params.isTurn(route) && !params.program().isEmpty());
    }

    @Override
    public void assign(Candidate chosen) {
        Runner runner = chosen.runner();
        queueWait.cancel();
        stage = RequestStage.ASSIGNED;
        attempts.recordAttempt();
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("request_placed")
                        .with("runner", runner.incarnation())
                        .with("load", chosen.load())
                        .with("slots", runner.slots())
                        .with("prompt", params.promptTokens())
                        .with("missing", chosen.uncachedTokens())
                        .with("offer", attempts.count())
                        .with("manifest", manifestVersion)
                        .toString());
        relay.metrics().recordPhase("wait", elapsed());
        if (attempts.count() == 1) {
            relay.dispatcher().retryBudget(service).recordFirstAttempt();
        }
        exchange = new RunnerExchange(this, relay, chosen, route.isStreaming(), route.stateful());
        scheduleLatencyTimeout(runner, exchange);
        // Must come last: if a pooled connection fails at once, the request is queued again from within this call.
        exchange.start();
    }

    /** Schedules a retry of a retriable call that gets no response within the target latency of its route. */
    private void scheduleLatencyTimeout(Runner runner, RunnerExchange attempt) {
        latencyTimer.cancel();
        if (!route.isStreaming() && !route.targetLatency().isZero() && canRetry()) {
            Duration delay = relay.dispatcher().speeds().retryDelay(service, route.targetLatency());
            latencyTimer = relay.loop().schedule(delay, () -> handleLatencyTimeout(runner, attempt));
        }
    }

    /** Returns the time until the deadline of the request, ms; 0 once it has passed. */
    long leftMillis() {
        return Math.max(0, (deadlineNanos - relay.loop().clock().nanos()) / 1_000_000);
    }

    CallerResponse response() {
        return response;
    }

    RunnerRequest runnerRequest(Runner runner) {
        return RunnerRequest.of(
                request, params, team.team(), relay.headerNames(), runner, leftMillis(), body, route.isRetriable());
    }

    /** Handles an attempt that certainly did not start the request at the runner. */
    void handleNotRun(Runner runner, String reason) {
        exchange = null;
        attempts.recordNotRun(runner.incarnation());
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("not_run_at_runner")
                        .with("runner", runner.incarnation())
                        .with("reason", reason)
                        .toString());
        if (attempts.canTryAnother(relay.dispatcher().runners(service))) {
            enqueue();
        } else if (attempts.mayHaveRun()) {
            // "Not executed" by this runner says nothing about an earlier one, which may have run the request.
            respond(502, "unknown", "an earlier attempt may have run; " + reason);
        } else {
            refuse(reason, RelayLimits.RETRY_DELAY_NO_SLOT);
        }
    }

    private void handleLatencyTimeout(Runner runner, RunnerExchange attempt) {
        if (stage == RequestStage.ASSIGNED
                && exchange == attempt
                && relay.dispatcher().retryBudget(service).tryAcquire()) {
            attempt.cancel();
            relay.dispatcher()
                    .health(runner.incarnation())
                    .recordBrokenResponse(relay.loop().clock().nanos());
            retry(runner, "no response within the route's target latency");
        }
    }

    /** Handles a missing response of a runner that may have started the request. Nothing was sent to the caller yet. */
    void handleUnknown(Runner runner, String reason) {
        if (canRetry() && relay.dispatcher().retryBudget(service).tryAcquire()) {
            retry(runner, reason);
        } else {
            attempts.recordPossibleRun(runner.incarnation());
            respond(502, "unknown", reason);
        }
    }

    private boolean canRetry() {
        return route.isRetriable() && attempts.allowsRetry(route.maxAttempts()) && leftMillis() > 0 && hasOtherRunner();
    }

    private boolean hasOtherRunner() {
        return attempts.hasUntried(relay.dispatcher().runners(service).stream()
                .filter(each -> !exchange.incarnation().equals(each.incarnation()))
                .toList());
    }

    private void retry(Runner runner, String reason) {
        exchange = null;
        team.chargeQuotaAgain();
        attempts.recordPossibleRun(runner.incarnation());
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("sent_again")
                        .with("runner", runner.incarnation())
                        .with("reason", reason)
                        .toString());
        enqueue();
    }

    /** Aborts a stream after its start, so that the caller recognizes it as incomplete. */
    void abortStream(String reason) {
        response.abort();
        finish("stream_cut", reason);
    }

    /** Forwards a complete response that is not a stream. */
    void completeResponse(Runner runner, int status, HttpHeaders headers, byte[] bytes) {
        response.sendFull(status, ForwardedHeaders.toCaller(headers), bytes);
        turn.ifPresent(each -> each.settle(runner.incarnation(), 0));
        finish(ANSWERED, String.valueOf(status));
    }

    /** Commits the turn of a complete stream and forwards the end of the stream once the turn is durable. */
    void commitStream(Runner runner, EventStreamReader events) {
        stage = RequestStage.COMMITTING;
        long commitStartNanos = relay.loop().clock().nanos();
        turn.map(each -> each.complete(runner.incarnation(), service, request.body(), events, leftMillis()))
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .whenComplete((done, failure) -> relay.loop().execute(() -> handleCommit(commitStartNanos, failure)));
    }

    private void handleCommit(long commitStartNanos, Throwable failure) {
        if (failure == null) {
            endStream(commitStartNanos);
        } else if (stage != RequestStage.ENDED) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> logLine("commit_failed").failure(failure).toString());
            abortStream("commit_failed");
        }
    }

    private void endStream(long commitStartNanos) {
        if (stage == RequestStage.ENDED) {
            return;
        }
        relay.metrics()
                .recordPhase("commit", Duration.ofNanos(relay.loop().clock().nanos() - commitStartNanos));
        response.endStream();
        finish(ANSWERED, "stream");
    }

    private void beginTurn() {
        stage = RequestStage.BEGINNING;
        TurnRecord record = new TurnRecord(relay, params, route, team.owner());
        turn = Optional.of(record);
        record.begin(boundedShare(RelayLimits.MAX_BEGIN_SHARE, RelayLimits.MAX_BEGIN_TIME))
                .thenAccept(this::handleBegin);
    }

    private void handleBegin(BeginResult result) {
        if (stage != RequestStage.BEGINNING) {
            releaseReservation();
            return;
        }
        relay.metrics().recordPhase("begin", elapsed());
        switch (result) {
            case BeginResult.Granted granted -> {
                reportedParts = granted.settled().stream()
                        .map(each -> new CachedPart(each.runner(), each.promptPart(), each.cachedTokens()))
                        .toList();
                hasHistory = !granted.chain().isEmpty();
                body = ConversationInput.assemble(granted.chain(), request.body());
                admit();
            }
            case BeginResult.BudgetSpent ignored -> respond(402, DENIED, "budget_spent");
            case BeginResult.NoSuchTurn ignored -> respond(404, DENIED, "no_such_turn");
            case BeginResult.Unavailable unavailable ->
                refuse("store VMs unavailable: " + unavailable.reason(), RelayLimits.RETRY_DELAY_NO_STORES);
        }
    }

    private void enqueue() {
        if (team.isKeyRevoked()) {
            rejectRevokedKey();
            return;
        }
        stage = RequestStage.QUEUED;
        queueWait.start(
                boundedShare(RelayLimits.MAX_QUEUE_SHARE, RelayLimits.MAX_QUEUE_WAIT), this::handleQueueTimeout);
        relay.dispatcher().submit(this);
    }

    private void handleQueueTimeout() {
        if (stage == RequestStage.QUEUED && relay.dispatcher().withdraw(this)) {
            if (attempts.mayHaveRun()) {
                respond(502, "unknown", "an earlier attempt may have run; no other runner had a free slot");
            } else {
                refuse("no runner had a free slot", RelayLimits.RETRY_DELAY_NO_SLOT);
            }
        }
    }

    private void handleDeadline() {
        switch (stage) {
            case ENDED, AWAITING_MANIFEST, MATCHING -> {}
            case BEGINNING -> refuse("deadline passed before the turn began", RelayLimits.RETRY_DELAY_NO_STORES);
            case QUEUED -> {
                relay.dispatcher().withdraw(this);
                if (attempts.mayHaveRun()) {
                    respond(504, "timeout", "after an unknown try");
                } else {
                    refuse("deadline passed while waiting for a runner", RelayLimits.RETRY_DELAY_NO_SLOT);
                }
            }
            case ASSIGNED -> {
                boolean streamBegun = exchange.streamBegun();
                exchange.cancel();
                if (streamBegun) {
                    abortStream("timeout");
                } else {
                    respond(504, "timeout", "at the runner");
                }
            }
            case COMMITTING -> abortStream("timeout");
        }
    }

    /** Rejects the request as not run; only if no runner can have started it or will. */
    private void refuse(String reason, Duration retryDelay) {
        refuse(503, reason, retryDelay);
    }

    private void refuse(int status, String reason, Duration retryDelay) {
        HttpHeaders headers = ForwardedHeaders.retryAfter(retryDelay, relay.random());
        response.sendFull(status, headers, new byte[0]);
        releaseReservation();
        team.refundQuota();
        finish("refused", reason);
    }

    private void respond(int status, String outcome, String reason) {
        response.sendFull(status, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[0]);
        finish(outcome, reason);
    }

    private void releaseReservation() {
        turn.ifPresent(TurnRecord::release);
    }

    private void finish(String outcome, String cause) {
        if (stage == RequestStage.ENDED) {
            return;
        }
        stage = RequestStage.ENDED;
        if (!outcome.equals(ANSWERED)) {
            int forwardedEvents = exchange == null ? 0 : exchange.forwardedEvents();
            turn.ifPresent(each -> each.settleAborted(forwardedEvents, service));
        }
        deadlineTimer.cancel();
        manifestTimer.cancel();
        queueWait.cancel();
        latencyTimer.cancel();
        relay.requestEnded();
        relay.metrics().recordOutcome(outcome, outcome.equals("refused") || outcome.equals("unknown") ? "-" : cause);
        relay.metrics().recordPhase("whole", elapsed());
        LOG.log(
                Logger.Level.INFO,
                () -> logLine("request_ended")
                        .with("outcome", outcome)
                        .with("cause", cause)
                        .with("ms", elapsed().toMillis())
                        .with("offers", attempts.count())
                        .with("manifest", manifestVersion)
                        .toString());
    }

    private LogLine logLine(String event) {
        return LogLine.of(event)
                .with("request", params == null ? "-" : params.id())
                .with("program", params == null ? "-" : params.program())
                .with("route", route == null ? "-" : route.name());
    }

    private Duration boundedShare(double share, Duration limit) {
        return Duration.ofMillis(Math.min((long) (leftMillis() * share), limit.toMillis()));
    }

    private Duration elapsed() {
        return Duration.ofNanos(relay.loop().clock().nanos() - startNanos);
    }
}
