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
 * The life of one request: matched, begun at the store VMs where it is a turn, waiting, offered to a runner, answered,
 * committed, ended. It ends in one of three ways that are never confused: <i>not run</i>, said only when no runner can
 * have begun it; the runner's own answer; and <i>unknown</i>, for everything else.
 */
final class RelayedRequest implements Waiter {
    private static final Logger LOG = System.getLogger(RelayedRequest.class.getName());
    private static final String ANSWERED = "answered";
    private static final String DENIED = "denied";
    private static final String OVER_ALLOTMENT = "over the team's allotment";

    private final Relay relay;
    private final CallerRequest request;
    private final CallerAnswer caller;
    private final RequestFacts facts;
    private final long startNanos;
    private final QueueWait queueWait;
    private final Tries tries = new Tries();
    private RequestStage stage = RequestStage.MATCHED;
    private long manifestVersion;
    private Route route;
    private TeamClaim claim;
    private String service = "";
    private long endNanos;
    private Cancellable timeout = () -> {};
    private Cancellable startTimer = () -> {};
    private Cancellable silenceTimer = () -> {};
    private Optional<TurnRecord> turn = Optional.empty();
    private List<CachedPart> heard = List.of();
    private boolean chained;
    private byte[] body;
    private RunnerExchange exchange;

    RelayedRequest(Relay relay, CallerRequest request, Optional<RequestFacts> facts, CallerAnswer caller) {
        this.relay = relay;
        this.request = request;
        this.caller = caller;
        this.facts = facts.orElse(null);
        this.startNanos = relay.loop().clock().nanos();
        this.body = request.body();
        this.claim = new TeamClaim(relay, request, Optional.empty(), "");
        this.queueWait = new QueueWait(relay.loop(), relay.dispatcher()::dispatch);
    }

    void start() {
        Optional<RoutingManifest> manifest = relay.registry().manifest();
        if (manifest.isEmpty()) {
            waitForManifest();
            return;
        }
        stage = RequestStage.MATCHED;
        manifestVersion = manifest.get().version();
        boolean current = relay.registry().isManifestCurrent();
        switch (RequestMatch.of(manifest.get(), current, request, facts != null, relay.dialect())) {
            case RequestMatch.Denied denied -> own(denied.status(), DENIED, denied.reason());
            case RequestMatch.Unsure unsure -> refuse(unsure.reason(), RelayLimits.COME_BACK_MANIFEST);
            case RequestMatch.Found found -> matched(found);
        }
    }

    private void matched(RequestMatch.Found found) {
        route = found.route();
        claim = new TeamClaim(relay, request, found.team(), found.owner());
        service = route.selectDestination(relay.random().nextDouble());
        long most = Math.min(
                route.timeout().toMillis(),
                facts.deadlineMillis().orElse(route.timeout().toMillis()));
        endNanos = startNanos + Duration.ofMillis(most).toNanos();
        timeout = relay.loop().schedule(Duration.ofMillis(leftMillis()), this::timedOut);
        Optional<Duration> full = claim.full();
        if (full.isPresent()) {
            refuse(429, OVER_ALLOTMENT, full.get());
        } else if (facts.turnOn(route)) {
            begin();
        } else {
            admit();
        }
    }

    private void admit() {
        switch (claim.ask(underWay(), !facts.program().isEmpty())) {
            case QuotaDecision.Allowed ignored -> queue();
            case QuotaDecision.Exceeded over -> refuse(429, OVER_ALLOTMENT, over.retryAfter());
            case QuotaDecision.Undetermined ignored ->
                refuse("no peer tells what the team has used", RelayLimits.COME_BACK_ALONE);
        }
    }

    @Override
    public void manifestChanged() {
        if (stage == RequestStage.WAITING
                && claim.takenAway()
                && relay.dispatcher().withdraw(this)) {
            keyTakenAway();
        }
    }

    /** A key that is gone from a manifest that may be old may have been given back since. */
    private void keyTakenAway() {
        if (tries.mayHaveRun()) {
            own(502, "unknown", "sent once; its key was taken away");
        } else if (relay.registry().isManifestCurrent()) {
            claim.giveBack();
            own(401, DENIED, "key_taken_away");
        } else {
            refuse("key gone from a manifest that may be old", RelayLimits.COME_BACK_MANIFEST);
        }
    }

    /** Whether it waits for the first manifest. */
    boolean starting() {
        return stage == RequestStage.STARTING;
    }

    private void waitForManifest() {
        stage = RequestStage.STARTING;
        long left = facts == null ? 0 : facts.deadlineMillis().orElse(RelayLimits.START_WAIT.toMillis());
        long most = Math.min((long) (left * RelayLimits.START_SHARE), RelayLimits.START_WAIT.toMillis());
        startTimer = relay.loop().schedule(Duration.ofMillis(most), () -> {
            if (starting()) {
                refuse("no manifest known yet", RelayLimits.COME_BACK_START);
            }
        });
        relay.awaitManifest(this);
    }

    /** The caller has left: nothing of the request may go on. */
    void callerGone() {
        if (stage == RequestStage.ENDED || stage == RequestStage.COMMITTING) {
            return;
        }
        boolean neverOffered = exchange == null;
        if (exchange != null) {
            exchange.cancel();
        }
        relay.dispatcher().withdraw(this);
        if (neverOffered) {
            releaseGrant();
            claim.giveBack();
        }
        finish("caller_left", neverOffered ? "before_offer" : "after_offer");
    }

    @Override
    public String service() {
        return service;
    }

    @Override
    public List<PromptPart> prompt() {
        return facts.prompt();
    }

    @Override
    public List<CachedPart> heard() {
        return heard;
    }

    @Override
    public Set<String> avoided() {
        return tries.avoided();
    }

    @Override
    public boolean anywhere() {
        return queueWait.nearlyOver();
    }

    @Override
    public int priority() {
        return claim.priority(route);
    }

    @Override
    public boolean underWay() {
        return !heard.isEmpty()
                || chained
                || (!facts.turnOn(route) && !facts.program().isEmpty());
    }

    @Override
    public void offered(Candidate chosen) {
        Runner runner = chosen.runner();
        queueWait.end();
        stage = RequestStage.OFFERED;
        tries.offered();
        LOG.log(
                Logger.Level.INFO,
                () -> line("request_placed")
                        .with("runner", runner.incarnation())
                        .with("load", chosen.load())
                        .with("slots", runner.slots())
                        .with("prompt", facts.promptTokens())
                        .with("missing", chosen.uncachedTokens())
                        .with("offer", tries.offers())
                        .with("manifest", manifestVersion)
                        .toString());
        relay.meters().phase("wait", elapsed());
        if (tries.offers() == 1) {
            relay.dispatcher().retries(service).recordFirstAttempt();
        }
        exchange = new RunnerExchange(this, relay, runner, route.isStreaming(), route.stateful());
        limitSilence(runner, exchange);
        // Last: a kept connection may turn out useless at once, and the request may then be offered anew from within.
        exchange.start();
    }

    /**
     * Past the operator's target an answer that was lost and one that is late look alike; where the call may repeat,
     * another runner answers in less time than the caller's whole patience.
     */
    private void limitSilence(Runner runner, RunnerExchange offered) {
        silenceTimer.cancel();
        if (!route.isStreaming() && !route.targetLatency().isZero() && mayRunAgain()) {
            silenceTimer = relay.loop().schedule(route.targetLatency(), () -> silent(runner, offered));
        }
    }

    /** Time left, ms. */
    long leftMillis() {
        return Math.max(0, (endNanos - relay.loop().clock().nanos()) / 1_000_000);
    }

    CallerAnswer caller() {
        return caller;
    }

    RunnerRequest runnerRequest(Runner runner) {
        return RunnerRequest.of(
                request, facts, claim.team(), relay.dialect(), runner, leftMillis(), body, route.isRetriable());
    }

    /** The runner said, or it is certain, that the request was not begun there. */
    void notRun(Runner runner, String reason) {
        exchange = null;
        tries.notRunAt(runner.incarnation());
        LOG.log(
                Logger.Level.INFO,
                () -> line("not_run_at_runner")
                        .with("runner", runner.incarnation())
                        .with("reason", reason)
                        .toString());
        if (tries.mayBeOffered(relay.dispatcher().runners(service))) {
            queue();
        } else if (tries.mayHaveRun()) {
            // This runner's word does not speak for the one before, which may have run the request.
            own(502, "unknown", "sent once; " + reason);
        } else {
            refuse(reason, RelayLimits.COME_BACK_FULL);
        }
    }

    private void silent(Runner runner, RunnerExchange offered) {
        if (stage == RequestStage.OFFERED
                && exchange == offered
                && relay.dispatcher().retries(service).tryAcquire()) {
            offered.cancel();
            relay.dispatcher()
                    .health(runner.incarnation())
                    .recordBrokenResponse(relay.loop().clock().nanos());
            sendAgain(runner, "silent for longer than the route's target");
        }
    }

    /** No whole answer came, and the runner may have begun the request. Nothing has gone to the caller yet. */
    void unknown(Runner runner, String reason) {
        if (mayRunAgain() && relay.dispatcher().retries(service).tryAcquire()) {
            sendAgain(runner, reason);
        } else {
            tries.mayHaveRunAt(runner.incarnation());
            own(502, "unknown", reason);
        }
    }

    private boolean mayRunAgain() {
        return route.isRetriable() && tries.anotherAllowed(route.maxAttempts()) && leftMillis() > 0 && hasOtherRunner();
    }

    private boolean hasOtherRunner() {
        return tries.anyLeft(relay.dispatcher().runners(service).stream()
                .filter(each -> !exchange.runnerLife().equals(each.incarnation()))
                .toList());
    }

    private void sendAgain(Runner runner, String reason) {
        exchange = null;
        claim.again();
        tries.mayHaveRunAt(runner.incarnation());
        LOG.log(
                Logger.Level.INFO,
                () -> line("sent_again")
                        .with("runner", runner.incarnation())
                        .with("reason", reason)
                        .toString());
        queue();
    }

    /** A stream broke after its start; the caller must see that it is not complete. */
    void streamBroken(String reason) {
        caller.abort();
        finish("stream_cut", reason);
    }

    /** A whole answer that is not a stream. */
    void answered(Runner runner, int status, HttpHeaders headers, byte[] bytes) {
        caller.whole(status, ForwardedHeaders.toCaller(headers), bytes);
        turn.ifPresent(each -> each.settle(runner.incarnation(), 0));
        finish(ANSWERED, String.valueOf(status));
    }

    /** A stream has come whole; its end is passed on once the turn can't be lost any more. */
    void streamEnded(Runner runner, EventStreamReader events) {
        stage = RequestStage.COMMITTING;
        long begun = relay.loop().clock().nanos();
        turn.map(each -> each.end(runner.incarnation(), service, request.body(), events, leftMillis()))
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .whenComplete((done, failure) -> relay.loop().execute(() -> committed(begun, failure)));
    }

    private void committed(long commitBegunNanos, Throwable failure) {
        if (failure == null) {
            endStream(commitBegunNanos);
        } else if (stage != RequestStage.ENDED) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> line("commit_failed").failure(failure).toString());
            streamBroken("commit_failed");
        }
    }

    private void endStream(long commitBegunNanos) {
        if (stage == RequestStage.ENDED) {
            return;
        }
        relay.meters().phase("commit", Duration.ofNanos(relay.loop().clock().nanos() - commitBegunNanos));
        caller.endStream();
        finish(ANSWERED, "stream");
    }

    private void begin() {
        stage = RequestStage.BEGINNING;
        TurnRecord record = new TurnRecord(relay, facts, route, claim.owner());
        turn = Optional.of(record);
        record.begin(share(RelayLimits.BEGIN_SHARE, RelayLimits.BEGIN_MOST)).thenAccept(this::begun);
    }

    private void begun(BeginResult result) {
        if (stage != RequestStage.BEGINNING) {
            releaseGrant();
            return;
        }
        relay.meters().phase("begin", elapsed());
        switch (result) {
            case BeginResult.Granted grantedTurn -> {
                heard = grantedTurn.settled().stream()
                        .map(each -> new CachedPart(each.runner(), each.promptPart(), each.cachedTokens()))
                        .toList();
                chained = !grantedTurn.chain().isEmpty();
                body = ChainText.assemble(grantedTurn.chain(), request.body());
                admit();
            }
            case BeginResult.BudgetSpent ignored -> own(402, DENIED, "budget_spent");
            case BeginResult.NoSuchTurn ignored -> own(404, DENIED, "no_such_turn");
            case BeginResult.Unavailable unavailable ->
                refuse("stores: " + unavailable.reason(), RelayLimits.COME_BACK_STORES);
        }
    }

    private void queue() {
        if (claim.takenAway()) {
            keyTakenAway();
            return;
        }
        stage = RequestStage.WAITING;
        queueWait.begin(share(RelayLimits.QUEUE_SHARE, RelayLimits.QUEUE_MOST), this::waitedTooLong);
        relay.dispatcher().submit(this);
    }

    private void waitedTooLong() {
        if (stage == RequestStage.WAITING && relay.dispatcher().withdraw(this)) {
            if (tries.mayHaveRun()) {
                own(502, "unknown", "sent once; no other runner had room");
            } else {
                refuse("no runner had room", RelayLimits.COME_BACK_FULL);
            }
        }
    }

    private void timedOut() {
        switch (stage) {
            case ENDED, STARTING, MATCHED -> {}
            case BEGINNING -> refuse("time over before the turn began", RelayLimits.COME_BACK_STORES);
            case WAITING -> {
                relay.dispatcher().withdraw(this);
                if (tries.mayHaveRun()) {
                    own(504, "timeout", "after an unknown try");
                } else {
                    refuse("time over while waiting", RelayLimits.COME_BACK_FULL);
                }
            }
            case OFFERED -> {
                boolean begun = exchange.streamBegun();
                exchange.cancel();
                if (begun) {
                    streamBroken("timeout");
                } else {
                    own(504, "timeout", "at the runner");
                }
            }
            case COMMITTING -> streamBroken("timeout");
        }
    }

    /** Says "not run": only where no runner can have begun the request or will. */
    private void refuse(String reason, Duration comeBack) {
        refuse(503, reason, comeBack);
    }

    private void refuse(int status, String reason, Duration comeBack) {
        HttpHeaders headers = ForwardedHeaders.comeBack(comeBack, relay.random());
        caller.whole(status, headers, new byte[0]);
        releaseGrant();
        claim.giveBack();
        finish("refused", reason);
    }

    private void own(int status, String outcome, String reason) {
        caller.whole(status, DefaultHttpHeadersFactory.headersFactory().newHeaders(), new byte[0]);
        finish(outcome, reason);
    }

    private void releaseGrant() {
        turn.ifPresent(TurnRecord::release);
    }

    private void finish(String outcome, String cause) {
        if (stage == RequestStage.ENDED) {
            return;
        }
        stage = RequestStage.ENDED;
        if (!outcome.equals(ANSWERED)) {
            int passedOn = exchange == null ? 0 : exchange.eventsPassedOn();
            turn.ifPresent(each -> each.brokeOff(passedOn, service));
        }
        timeout.cancel();
        startTimer.cancel();
        queueWait.end();
        silenceTimer.cancel();
        relay.ended();
        relay.meters().ended(outcome, outcome.equals("refused") || outcome.equals("unknown") ? "-" : cause);
        relay.meters().phase("whole", elapsed());
        LOG.log(
                Logger.Level.INFO,
                () -> line("request_ended")
                        .with("outcome", outcome)
                        .with("cause", cause)
                        .with("ms", elapsed().toMillis())
                        .with("offers", tries.offers())
                        .with("manifest", manifestVersion)
                        .toString());
    }

    private LogLine line(String event) {
        return LogLine.of(event)
                .with("request", facts == null ? "-" : facts.id())
                .with("program", facts == null ? "-" : facts.program())
                .with("route", route == null ? "-" : route.name());
    }

    private Duration share(double share, Duration most) {
        return Duration.ofMillis(Math.min((long) (leftMillis() * share), most.toMillis()));
    }

    private Duration elapsed() {
        return Duration.ofNanos(relay.loop().clock().nanos() - startNanos);
    }
}
