package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.conversation.BeginRequest;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.conversation.GrantState;
import org.parsleydrift.conversation.Turn;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.Route;

/** What the store VMs know of one request: its reservation of tokens and, once it has ended, its turn. */
final class TurnRecord {
    private static final Logger LOG = System.getLogger(TurnRecord.class.getName());

    private final Relay relay;
    private final RequestFacts facts;
    private final Route route;
    private final String owner;
    private boolean reserved;

    /** Makes a record; under an owner's name, since turns and programs of other owners may have the same ids. */
    TurnRecord(Relay relay, RequestFacts facts, Route route, String owner) {
        this.relay = relay;
        this.facts = facts;
        this.route = route;
        this.owner = owner;
    }

    private String program() {
        return facts.program().isEmpty() ? "" : owner + facts.program();
    }

    private String previousTurn() {
        return facts.previousTurn().isEmpty() ? "" : owner + facts.previousTurn();
    }

    /** Reserves tokens and reads the chain; completes on the relay's loop and never fails. */
    CompletableFuture<BeginResult> begin(Duration patience) {
        OptionalInt budget = facts.program().isEmpty() ? OptionalInt.empty() : facts.budget();
        String previous = route.stateful() ? previousTurn() : "";
        BeginRequest begin = new BeginRequest(
                program(), facts.id(), budget, facts.mostTokens(), previous, route.retention(), patience);
        return relay.conversations()
                .begin(begin)
                .thenApplyAsync(
                        result -> {
                            reserved = result instanceof BeginResult.Granted && budget.isPresent();
                            logDenied(result);
                            return result;
                        },
                        relay.loop());
    }

    private void logDenied(BeginResult result) {
        LogLine line = LogLine.of("turn_denied").with("request", facts.id()).with("program", facts.program());
        switch (result) {
            case BeginResult.BudgetSpent spent ->
                LOG.log(
                        Logger.Level.INFO,
                        line.with("reason", "budget_spent")
                                .with("counted", spent.countedTokens())
                                .with("generated", spent.generatedTokens())
                                .with("most", facts.mostTokens())
                                .with("budget", facts.budget().orElse(0))
                                .toString());
            case BeginResult.NoSuchTurn ignored ->
                LOG.log(
                        Logger.Level.INFO,
                        line.with("reason", "no_such_turn")
                                .with("previous", facts.previousTurn())
                                .toString());
            case BeginResult.Granted ignored -> {}
            case BeginResult.Unavailable ignored -> {}
        }
    }

    /** Gives the reservation back; only where no runner has begun the request or will. */
    void release() {
        if (reserved) {
            reserved = false;
            relay.conversations().release(program(), facts.id(), route.retention());
        }
    }

    /**
     * Notes what was passed on of a turn that broke off. Its reservation would else count at its most for as long as it is
     * kept, and a program that has got few tokens or none would be told over and over that its budget is spent.
     */
    void brokeOff(int events, String service) {
        if (reserved) {
            reserved = false;
            int tokens = tokensOf(events, service);
            relay.conversations()
                    .writeInBackground(
                            new Grant(program(), facts.id(), GrantState.SETTLED, tokens, ""), route.retention());
        }
    }

    /**
     * Tokens of events that were passed on. Where the manifest names their service no more, nobody can tell how many an event
     * has; they then count as the most that the turn may generate, or the program could get more than its budget holds.
     */
    private int tokensOf(int events, String service) {
        if (events == 0) {
            return 0;
        }
        return relay.registry()
                .manifest()
                .flatMap(each -> each.service(service))
                .map(each -> events * each.tokensPerEvent())
                .orElse(facts.mostTokens());
    }

    /** Notes the end of a stream that came whole; fails if the turn is to be kept and can't be made sure of in time. */
    CompletableFuture<Void> end(
            String runner, String service, byte[] input, EventStreamReader events, long leftMillis) {
        int tokens = tokensOf(events.events(), service);
        if (!route.stateful()) {
            return settle(runner, tokens);
        }
        Duration patience = Duration.ofMillis(Math.min(leftMillis, RelayLimits.COMMIT_MOST.toMillis()));
        return keep(runner, tokens, input, events.data(), patience);
    }

    /** Notes what was generated; waits for a while only, since nothing of the answer depends on it. */
    CompletableFuture<Void> settle(String runner, int tokens) {
        if (!reserved) {
            return CompletableFuture.completedFuture(null);
        }
        Grant grant = settled(runner, tokens);
        CompletableFuture<Void> waited = new CompletableFuture<>();
        relay.conversations()
                .commit(Optional.of(grant), Optional.empty(), route.retention(), RelayLimits.SETTLE_WAIT)
                .whenComplete((done, failure) -> relay.loop().execute(() -> {
                    if (failure != null) {
                        relay.conversations().writeInBackground(grant, route.retention());
                    }
                    waited.complete(null);
                }));
        return waited;
    }

    private CompletableFuture<Void> keep(String runner, int tokens, byte[] input, byte[] output, Duration patience) {
        Optional<Grant> grant = reserved ? Optional.of(settled(runner, tokens)) : Optional.empty();
        Turn turn = new Turn(owner + facts.id(), previousTurn(), input, output);
        return relay.conversations().commit(grant, Optional.of(turn), route.retention(), patience);
    }

    private Grant settled(String runner, int tokens) {
        if (facts.prompt().isEmpty()) {
            return new Grant(program(), facts.id(), GrantState.SETTLED, tokens, runner);
        }
        PromptPart line = facts.prompt().getLast();
        int held = line.tokens() + tokens;
        return new Grant(program(), facts.id(), GrantState.SETTLED, tokens, runner, line.id(), held);
    }
}
