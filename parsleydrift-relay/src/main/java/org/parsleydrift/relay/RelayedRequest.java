package org.parsleydrift.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.placement.CachedPart;
import org.parsleydrift.placement.Candidate;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.placement.QuotaRequest;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;

/**
 * I/O of one request: matches it, asks the store VMs and the quotas, queues it, sends it to runners and responds to the
 * caller. What to do after an event is decided by its {@link RequestLifecycle}.
 */
final class RelayedRequest implements QueuedRequest, OpenRequest {
    private final Relay relay;
    private final CallerRequest request;
    private final CallerResponse response;
    private final RequestParameters params;
    private final long startNanos;
    private final QueueWait queueWait;
    private final RequestLog log;
    private final RequestLifecycle lifecycle = new RequestLifecycle();
    private Route route;
    private RequestTeam team;
    private RequestWork work;
    private StreamBinding binding;
    private String service = "";
    private long deadlineNanos;
    private Cancellable deadlineTimer = () -> {};
    private Cancellable preparationTimer = () -> {};
    private Cancellable latencyTimer = () -> {};
    private Optional<TurnRecord> turn = Optional.empty();
    private List<CachedPart> reportedParts = List.of();
    private boolean hasHistory;
    private List<byte[]> body;
    private RunnerExchange exchange;

    RelayedRequest(Relay relay, CallerRequest request, Optional<RequestParameters> params, CallerResponse response) {
        this.relay = relay;
        this.request = request;
        this.response = response;
        this.params = params.orElse(null);
        this.log = new RequestLog(params);
        this.startNanos = relay.loop().clock().nanos();
        this.body = ConversationInput.assemble(List.of(), request.body());
        this.team = new RequestTeam(relay, request, Optional.empty(), "");
        this.queueWait = new QueueWait(relay.loop(), relay.dispatcher()::dispatch);
    }

    void start() {
        if (relay.timeUntilEnd().filter(Duration::isZero).isPresent()) {
            apply(new RequestEvent.ProcessEnding());
            return;
        }
        Optional<RoutingManifest> manifest = relay.registry().manifest();
        if (relay.missing().isPresent()) {
            apply(new RequestEvent.NotPrepared());
            return;
        }
        apply(new RequestEvent.MatchingBegun());
        log.setManifestVersion(manifest.get().version());
        boolean current = relay.registry().isManifestCurrent();
        switch (RequestMatch.of(manifest.get(), current, request, params != null, relay.headerNames())) {
            case RequestMatch.Denied denied -> apply(new RequestEvent.MatchDenied(denied.status(), denied.reason()));
            case RequestMatch.Undetermined result -> apply(new RequestEvent.MatchUndetermined(result.reason()));
            case RequestMatch.Found found -> handleMatch(found);
        }
    }

    private void handleMatch(RequestMatch.Found found) {
        route = found.route();
        log.setRoute(route);
        if (relay.losses().mustAwaitStores(route, params.isTurn(route))) {
            apply(new RequestEvent.NotPrepared());
            return;
        }
        team = new RequestTeam(relay, request, found.team(), found.owner());
        service = route.selectDestination(relay.random().nextDouble());
        long timeoutMillis = Math.min(
                route.timeout().toMillis(),
                params.deadlineMillis().orElse(route.timeout().toMillis()));
        if (!relay.hasTimeFor(route, Duration.ofMillis(timeoutMillis))) {
            apply(new RequestEvent.ProcessEnding());
            return;
        }
        deadlineNanos = startNanos + Duration.ofMillis(timeoutMillis).toNanos();
        deadlineTimer = relay.loop().schedule(Duration.ofMillis(untilDeadlineMillis()), this::handleDeadline);
        binding = new StreamBinding(relay, params, route, team.owner());
        work = new RequestWork(relay, request, params, route, team.owner());
        if (isWorkRejected()) {
            apply(new RequestEvent.WorkRejected());
            return;
        }
        Optional<String> obstacle = binding.obstacle();
        if (obstacle.isPresent()) {
            apply(new RequestEvent.StreamUnservable(obstacle.get()));
            return;
        }
        boolean needsRecords = params.isTurn(route) || binding.isResumption();
        apply(new RequestEvent.Matched(needsRecords, team.quotaRetryDelay()));
    }

    void apply(RequestEvent event) {
        lifecycle.apply(event).forEach(this::execute);
    }

    private void execute(RequestAction action) {
        switch (action) {
            case RequestAction.AwaitPreparation ignored -> waitForPreparation();
            case RequestAction.BeginTurn ignored -> beginTurn();
            case RequestAction.AdoptHistory history -> adoptHistory(history.granted());
            case RequestAction.AcquireQuota ignored ->
                team.acquireQuota(
                        new QuotaRequest(isInProgress(), !params.program().isEmpty()),
                        decision -> apply(new RequestEvent.QuotaDecided(decision)));
            case RequestAction.Queue ignored -> enqueue();
            case RequestAction.Withdraw ignored -> relay.dispatcher().withdraw(this);
            case RequestAction.CancelAttempt ignored -> exchange.cancel();
            case RequestAction.ReportAttemptEnd report -> relay.dispatcher().reportAttemptEnd(this, report.end());
            case RequestAction.ChargeQuotaAgain ignored -> team.chargeQuotaAgain();
            case RequestAction.RefundQuota ignored -> team.refundQuota();
            case RequestAction.ReleaseReservation ignored -> turn.ifPresent(TurnRecord::release);
            case RequestAction.Respond respond ->
                response.sendFull(
                        respond.status(),
                        DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                        new byte[0]);
            case RequestAction.RespondRetryLater later ->
                response.sendFull(
                        later.status(),
                        later.jitter()
                                ? ForwardedHeaders.retryAfter(later.retryDelay(), relay.random())
                                : ForwardedHeaders.retryAfter(later.retryDelay()),
                        new byte[0]);
            case RequestAction.EndStream ignored -> response.endStream();
            case RequestAction.AbortStream ignored -> response.abort();
            case RequestAction.End end -> finish(end.outcome(), end.cause());
        }
    }

    @Override
    public void manifestChanged() {
        if (lifecycle.stage() == RequestStage.QUEUED && team.isKeyRevoked()) {
            apply(keyRevoked());
        }
    }

    @Override
    public void runnersChanged() {
        if (lifecycle.stage() == RequestStage.QUEUED) {
            binding.unavailability(service).ifPresent(each -> apply(new RequestEvent.StreamUnservable(each)));
        }
        workLimited();
    }

    @Override
    public void workLimited() {
        if (lifecycle.stage() == RequestStage.QUEUED && isWorkRejected()) {
            apply(new RequestEvent.WorkRejected());
        }
    }

    private boolean isWorkRejected() {
        return work.isRejected(() -> binding.eligibleRunners(service));
    }

    private RequestEvent keyRevoked() {
        return new RequestEvent.KeyRevoked(relay.registry().isManifestCurrent());
    }

    /** Returns whether the request waits until the node knows what it has to know. */
    boolean isAwaitingPreparation() {
        return lifecycle.stage() == RequestStage.AWAITING_PREPARATION;
    }

    private void waitForPreparation() {
        preparationTimer = relay.loop()
                .schedule(
                        RelayLimits.preparationWait(params == null ? OptionalLong.of(0) : params.deadlineMillis()),
                        () -> apply(new RequestEvent.PreparationTimedOut(
                                relay.missing().orElse("losses kept by the store VMs not known yet"))));
        relay.awaitPreparation(this);
    }

    @Override
    public String id() {
        return log.id();
    }

    @Override
    public RequestStage stage() {
        return lifecycle.stage();
    }

    /** Cancels the request after its caller has disconnected; a turn that is being committed is completed. */
    @Override
    public void handleDisconnect() {
        apply(new RequestEvent.CallerLeft());
    }

    @Override
    public void handleProcessEnd() {
        boolean sent = exchange != null && exchange.isSent();
        apply(sent ? new RequestEvent.AttemptInterrupted(exchange.streamBegun()) : new RequestEvent.ProcessEnding());
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
    public boolean accepts(Runner runner) {
        return !lifecycle.attempts().excludedRunners().contains(runner.incarnation())
                && binding.accepts(runner)
                && work.accepts(runner);
    }

    @Override
    public boolean acceptsAnyRunner() {
        return queueWait.acceptsAnyRunner();
    }

    @Override
    public int priority() {
        return team.priority(route);
    }

    @Override
    public boolean isInProgress() {
        return !reportedParts.isEmpty()
                || hasHistory
                || binding.isResumption()
                || (!params.isTurn(route) && !params.program().isEmpty());
    }

    @Override
    public RequestFacts facts() {
        return RequestFacts.of(params, team, route, lifecycle.attempts(), startNanos, deadlineNanos);
    }

    @Override
    public void assign(Candidate chosen) {
        Runner runner = chosen.runner();
        queueWait.cancel();
        apply(new RequestEvent.Assigned());
        team.recordSend();
        int attempt = lifecycle.attempts().count();
        log.placed(chosen, params.promptTokens(), attempt);
        relay.metrics().recordPhase("wait", elapsed());
        if (attempt == 1) {
            relay.dispatcher().retryBudget(service).recordFirstAttempt();
        }
        exchange = new RunnerExchange(this, relay, chosen, attempt, route);
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

    /** Returns the time until the deadline of the request or the end of this process, ms; 0 once it has passed. */
    long leftMillis() {
        long left = untilDeadlineMillis();
        return relay.timeUntilEnd().map(each -> Math.min(left, each.toMillis())).orElse(left);
    }

    private long untilDeadlineMillis() {
        return Math.max(0, (deadlineNanos - relay.loop().clock().nanos()) / 1_000_000);
    }

    /** Returns the id of the event after which the stream goes on; the empty string for a new stream. */
    String lastEventId() {
        return params.resumption().map(StreamResumption::lastEventId).orElse("");
    }

    int maxEvents() {
        return turn.map(each -> each.maxEvents(service)).orElse(Integer.MAX_VALUE);
    }

    RequestWork work() {
        return work;
    }

    StreamBinding binding() {
        return binding;
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
        log.notRun(runner, reason);
        List<Runner> others =
                binding.eligibleRunners(service).stream().filter(work::accepts).toList();
        apply(new RequestEvent.AttemptNotRun(runner.incarnation(), reason, others));
    }

    private void handleLatencyTimeout(Runner runner, RunnerExchange attempt) {
        if (lifecycle.stage() == RequestStage.ASSIGNED
                && exchange == attempt
                && work.allowsAnother(runner)
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
            apply(new RequestEvent.AttemptUnknown(runner.incarnation(), reason, false));
        }
    }

    private boolean canRetry() {
        return route.isRetriable()
                && leftMillis() > 0
                && work.allowsAnother(exchange.runner())
                && lifecycle.allowsRetry(
                        route.maxAttempts(), exchange.runner().incarnation(), binding.eligibleRunners(service));
    }

    private void retry(Runner runner, String reason) {
        exchange = null;
        log.sentAgain(runner, reason);
        apply(new RequestEvent.AttemptUnknown(runner.incarnation(), reason, true));
    }

    /** Aborts a stream after its start, so that the caller recognizes it as incomplete. */
    void abortStream(String reason) {
        apply(new RequestEvent.StreamFailed(reason));
    }

    /** Forwards a complete response that is not a stream. */
    void completeResponse(Runner runner, int status, HttpHeaders headers, byte[] bytes) {
        response.sendFull(status, ForwardedHeaders.toCaller(headers), bytes);
        turn.ifPresent(each -> each.settle(runner.incarnation(), 0));
        apply(new RequestEvent.ResponseForwarded(status));
    }

    /** Commits the turn of a complete stream and forwards the end of the stream once the turn is durable. */
    void commitStream(Runner runner, EventStreamReader events) {
        apply(new RequestEvent.StreamCompleted());
        long commitStartNanos = relay.loop().clock().nanos();
        turn.map(each -> each.complete(runner.incarnation(), service, request.body(), events, untilDeadlineMillis()))
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .whenComplete((done, failure) -> relay.loop().execute(() -> handleCommit(commitStartNanos, failure)));
    }

    private void handleCommit(long commitStartNanos, Throwable failure) {
        if (lifecycle.stage() == RequestStage.ENDED) {
            return;
        }
        if (failure == null) {
            relay.metrics()
                    .recordPhase("commit", Duration.ofNanos(relay.loop().clock().nanos() - commitStartNanos));
            apply(new RequestEvent.TurnCommitted());
        } else {
            log.commitFailed(failure);
            apply(new RequestEvent.CommitFailed());
        }
    }

    private void beginTurn() {
        TurnRecord record = new TurnRecord(relay, params, route, team.owner(), binding);
        turn = Optional.of(record);
        record.begin(service, request.body().length, RelayLimits.beginTimeout(leftMillis()))
                .thenAccept(this::handleBegin);
    }

    private void handleBegin(BeginResult result) {
        if (lifecycle.stage() == RequestStage.BEGINNING) {
            relay.metrics().recordPhase("begin", elapsed());
            if (binding.isResumption() && result instanceof BeginResult.Granted granted) {
                Optional<String> obstacle = binding.bindResumption(granted.resumedOrigin());
                if (obstacle.isPresent()) {
                    apply(new RequestEvent.StreamUnservable(obstacle.get()));
                    return;
                }
                service = binding.boundService().orElseThrow();
            }
        }
        apply(new RequestEvent.TurnBegun(result));
    }

    private void adoptHistory(BeginResult.Granted granted) {
        work.recordStored(granted.attempts());
        reportedParts = granted.settled().stream()
                .map(each -> new CachedPart(each.runner(), each.promptPart(), each.cachedTokens()))
                .toList();
        hasHistory = !granted.chain().isEmpty();
        body = ConversationInput.assemble(granted.chain(), request.body());
    }

    private void enqueue() {
        if (isWorkRejected()) {
            apply(new RequestEvent.WorkRejected());
            return;
        }
        if (team.isKeyRevoked()) {
            apply(keyRevoked());
            return;
        }
        Optional<String> unavailability = binding.unavailability(service);
        if (unavailability.isPresent()) {
            apply(new RequestEvent.StreamUnservable(unavailability.get()));
            return;
        }
        switch (relay.admission().decide(this, leftMillis())) {
            case AdmissionDecision.Wait wait -> {
                apply(new RequestEvent.Admitted());
                queueWait.start(
                        wait,
                        () -> apply(
                                new RequestEvent.QueueTimedOut(relay.admission().retryDelayAfterWait(this))));
                relay.dispatcher().submit(this);
            }
            case AdmissionDecision.Refuse refused ->
                apply(new RequestEvent.AdmissionRefused(refused.reason(), refused.retryDelay()));
        }
    }

    private void handleDeadline() {
        apply(new RequestEvent.DeadlinePassed(exchange != null && exchange.streamBegun()));
    }

    private void finish(String outcome, String cause) {
        if (outcome.equals(RequestLifecycle.ANSWERED)) {
            relay.recordLatency(route, elapsed());
        } else {
            int forwardedEvents = exchange == null ? 0 : exchange.forwardedEvents();
            turn.ifPresent(each -> each.settleAborted(forwardedEvents, service));
        }
        turn.ifPresent(TurnRecord::releaseChain);
        body = List.of();
        deadlineTimer.cancel();
        preparationTimer.cancel();
        queueWait.cancel();
        latencyTimer.cancel();
        relay.requestEnded(this);
        boolean causeUnbounded = outcome.equals(RequestLifecycle.REFUSED) || outcome.equals(RequestLifecycle.UNKNOWN);
        relay.metrics().recordOutcome(outcome, causeUnbounded ? "-" : cause);
        relay.metrics().recordPhase("whole", elapsed());
        log.ended(outcome, cause, elapsed(), lifecycle.attempts().count());
    }

    private Duration elapsed() {
        return Duration.ofNanos(relay.loop().clock().nanos() - startNanos);
    }
}
