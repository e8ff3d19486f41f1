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

/** The records of one request at the store VMs: its token reservation and, once it has ended, its turn. */
final class TurnRecord {
    private static final Logger LOG = System.getLogger(TurnRecord.class.getName());

    private final Relay relay;
    private final RequestFacts facts;
    private final Route route;
    private final String owner;
    private boolean reserved;

    /**
     * Creates a record whose turn and program ids are prefixed with the owner, as other owners may use the same ids.
     */
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

    /** Reserves tokens and reads the conversation history. The future completes on the relay's loop and never fails. */
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

    /** Releases the token reservation; only if no runner has started the request or will. */
    void release() {
        if (reserved) {
            reserved = false;
            relay.conversations().release(program(), facts.id(), route.retention());
        }
    }

    /**
     * Settles the reservation of an aborted turn with the tokens of the forwarded events. An unsettled reservation
     * counts in full against the program's budget until it expires.
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
     * Returns the number of tokens in forwarded events. If the service is gone from the manifest, the tokens per event
     * are unknown; the maximum of the turn is assumed, so that the program cannot exceed its budget.
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

    /** Commits a complete stream. The future fails if the turn must be stored and is not durable in time. */
    CompletableFuture<Void> end(
            String runner, String service, byte[] input, EventStreamReader events, long leftMillis) {
        int tokens = tokensOf(events.events(), service);
        if (!route.stateful()) {
            return settle(runner, tokens);
        }
        Duration patience = Duration.ofMillis(Math.min(leftMillis, RelayLimits.COMMIT_MOST.toMillis()));
        return keep(runner, tokens, input, events.data(), patience);
    }

    /** Settles the reservation. The future never fails; after a timeout the write continues in the background. */
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
