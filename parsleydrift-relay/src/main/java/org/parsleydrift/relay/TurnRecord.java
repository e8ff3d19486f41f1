package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.conversation.BeginRequest;
import org.parsleydrift.conversation.BeginResult;
import org.parsleydrift.conversation.ChainReservation;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.conversation.GrantState;
import org.parsleydrift.conversation.StreamOrigin;
import org.parsleydrift.conversation.Turn;
import org.parsleydrift.conversation.TurnLineage;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.placement.PromptPart;
import org.parsleydrift.registry.Route;

/** The records of one request at the store VMs: its token reservation and, once it has ended, its turn. */
final class TurnRecord {
    private static final Logger LOG = System.getLogger(TurnRecord.class.getName());

    private final Relay relay;
    private final RequestParameters parameters;
    private final Route route;
    private final String owner;
    private final StreamBinding binding;
    private boolean reserved;
    /** Whether a reservation may have been written, but is not granted yet. */
    private boolean beginning;

    private boolean released;
    private boolean chainReleased;
    private ChainReservation chainMemory = () -> {};
    private TurnLineage lineage;

    /**
     * Creates a record whose turn and program ids are prefixed with the owner, as other owners may use the same ids.
     */
    TurnRecord(Relay relay, RequestParameters parameters, Route route, String owner, StreamBinding binding) {
        this.relay = relay;
        this.parameters = parameters;
        this.route = route;
        this.owner = owner;
        this.binding = binding;
        this.lineage = new TurnLineage(program(), Optional.empty());
    }

    private String program() {
        return parameters.program().isEmpty() ? "" : owner + parameters.program();
    }

    private String previousTurn() {
        return parameters.previousTurn().isEmpty() ? "" : owner + parameters.previousTurn();
    }

    /**
     * Reserves tokens, binds a new stream to a software version if possible, and reads the conversation history and the
     * origin of a stream that is continued. The future completes on the relay's loop and never fails.
     *
     * @param service the service that the turn is sent to
     * @param inputBytes size of the turn's own input, bytes
     * @param timeout how long to retry each request to the store VMs
     */
    CompletableFuture<BeginResult> begin(String service, int inputBytes, Duration timeout) {
        if (route.stateful() && inputBytes > RelayLimits.MAX_TURN_INPUT_BYTES) {
            BeginResult tooLarge = new BeginResult.Unavailable("an input of " + inputBytes
                    + " bytes cannot be stored, the limit is " + RelayLimits.MAX_TURN_INPUT_BYTES);
            return CompletableFuture.supplyAsync(() -> tooLarge, relay.loop());
        }
        OptionalInt budget = parameters.program().isEmpty() ? OptionalInt.empty() : parameters.budget();
        String previous = route.stateful() ? previousTurn() : "";
        Optional<StreamOrigin> origin = budget.isPresent() ? binding.bindNew(service) : Optional.empty();
        BeginRequest begin = new BeginRequest(
                program(),
                parameters.id(),
                budget,
                parameters.maxTokens(),
                previous,
                route.retention(),
                timeout,
                origin,
                binding.resumedStream());
        beginning = budget.isPresent();
        return relay.conversations()
                .begin(begin)
                .thenApplyAsync(
                        result -> {
                            beginning = false;
                            reserved = result instanceof BeginResult.Granted && budget.isPresent() && !released;
                            if (result instanceof BeginResult.Granted granted) {
                                lineage = granted.lineage();
                                keepChain(granted.chainMemory());
                            }
                            if (reserved && origin.isPresent()) {
                                binding.markRecorded();
                            }
                            logDenial(result);
                            return result;
                        },
                        relay.loop());
    }

    private void keepChain(ChainReservation reservation) {
        chainMemory = reservation;
        if (chainReleased) {
            reservation.release();
        }
    }

    /** Releases the memory of the chain, also that of one which is still being read. */
    void releaseChain() {
        chainReleased = true;
        chainMemory.release();
    }

    private void logDenial(BeginResult result) {
        LogLine line =
                LogLine.of("turn_denied").with("request", parameters.id()).with("program", parameters.program());
        switch (result) {
            case BeginResult.BudgetSpent spent ->
                LOG.log(
                        Logger.Level.INFO,
                        line.with("reason", "budget_spent")
                                .with("counted", spent.countedTokens())
                                .with("generated", spent.generatedTokens())
                                .with("most", parameters.maxTokens())
                                .with("budget", parameters.budget().orElse(0))
                                .toString());
            case BeginResult.NoSuchTurn ignored ->
                LOG.log(
                        Logger.Level.INFO,
                        line.with("reason", "no_such_turn")
                                .with("previous", parameters.previousTurn())
                                .toString());
            case BeginResult.Granted ignored -> {}
            case BeginResult.Unavailable ignored -> {}
        }
    }

    /**
     * Releases the token reservation; only if no runner has started the request or will. One that is being written is
     * released at once, as the process may end before it is granted; a release takes precedence at the store VMs.
     */
    void release() {
        if (reserved || beginning) {
            reserved = false;
            beginning = false;
            released = true;
            relay.conversations().release(program(), parameters.id(), route.retention());
        }
    }

    /**
     * Settles the reservation of an aborted turn with the tokens of the forwarded events. An unsettled reservation
     * counts in full against the program's budget until it expires.
     */
    void settleAborted(int events, String service) {
        if (reserved) {
            reserved = false;
            int tokens = countTokens(events, service);
            relay.conversations()
                    .writeInBackground(
                            new Grant(program(), parameters.id(), GrantState.SETTLED, tokens, ""), route.retention());
        }
    }

    /**
     * Returns the number of events that a runner may generate with the reserved tokens, or with the budget if the caller
     * states no maximum; the last event may hold fewer tokens than the others. Unlimited without a reservation, or if the
     * tokens per event are not known.
     */
    int maxEvents(String service) {
        int budget = parameters.budget().orElse(Integer.MAX_VALUE);
        int tokens = parameters.maxTokens() > 0 ? parameters.maxTokens() : budget;
        return relay.registry()
                .manifest()
                .flatMap(each -> each.service(service))
                .filter(each -> reserved && each.tokensPerEvent() > 0)
                .map(each -> Math.ceilDiv(tokens, each.tokensPerEvent()))
                .orElse(Integer.MAX_VALUE);
    }

    /**
     * Returns the number of tokens in forwarded events. If the service is gone from the manifest, the tokens per event
     * are unknown; the maximum of the turn is assumed, so that the program cannot exceed its budget.
     */
    private int countTokens(int events, String service) {
        if (events == 0) {
            return 0;
        }
        return relay.registry()
                .manifest()
                .flatMap(each -> each.service(service))
                .map(each -> events * each.tokensPerEvent())
                .orElse(parameters.maxTokens());
    }

    /** Commits a complete stream. The future fails if the turn must be stored and is not durable in time. */
    CompletableFuture<Void> complete(
            String runner, String service, byte[] input, EventStreamReader events, long leftMillis) {
        int tokens = countTokens(events.eventCount(), service);
        if (!route.stateful()) {
            return settle(runner, tokens);
        }
        Duration timeout = Duration.ofMillis(Math.min(leftMillis, RelayLimits.MAX_COMMIT_TIME.toMillis()));
        return store(runner, tokens, input, events.data(), timeout);
    }

    /** Settles the reservation. The future never fails; after a timeout the write continues in the background. */
    CompletableFuture<Void> settle(String runner, int tokens) {
        if (!reserved) {
            return CompletableFuture.completedFuture(null);
        }
        Grant grant = settledGrant(runner, tokens);
        CompletableFuture<Void> completed = new CompletableFuture<>();
        relay.conversations()
                .commit(Optional.of(grant), Optional.empty(), route.retention(), RelayLimits.MAX_SETTLE_TIME)
                .whenComplete((done, failure) -> relay.loop().execute(() -> {
                    if (failure != null) {
                        relay.conversations().writeInBackground(grant, route.retention());
                    }
                    completed.complete(null);
                }));
        return completed;
    }

    private CompletableFuture<Void> store(String runner, int tokens, byte[] input, byte[] output, Duration timeout) {
        Optional<Grant> grant = reserved ? Optional.of(settledGrant(runner, tokens)) : Optional.empty();
        Turn turn = new Turn(owner + parameters.id(), previousTurn(), input, output);
        return relay.conversations().commit(grant, turn, lineage, route.retention(), timeout);
    }

    private Grant settledGrant(String runner, int tokens) {
        if (parameters.prompt().isEmpty()) {
            return new Grant(program(), parameters.id(), GrantState.SETTLED, tokens, runner);
        }
        PromptPart lastPart = parameters.prompt().getLast();
        int cachedTokens = lastPart.tokens() + tokens;
        return new Grant(program(), parameters.id(), GrantState.SETTLED, tokens, runner, lastPart.id(), cachedTokens);
    }
}
