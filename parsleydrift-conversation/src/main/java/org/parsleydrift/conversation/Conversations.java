package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;

/**
 * Begins and commits turns. A reservation is first written to a write quorum; only then are the grants of the program read
 * from a read quorum and compared with the budget. Of several concurrent turns, the last to complete its write reads the
 * reservations of all others, so together they cannot exceed the budget. Checking the replies to the write alone would
 * not ensure this, since three reservations could each see just one of the others.
 */
public final class Conversations {
    private static final Logger LOG = System.getLogger(Conversations.class.getName());
    /** Timeout of writes on whose result no caller waits. */
    private static final Duration BACKGROUND_WRITE_TIMEOUT = Duration.ofSeconds(20);

    private final ConversationClient client;
    private final SettledTokenCache settledTokens = new SettledTokenCache();
    private final QuorumCircuitBreaker circuitBreaker;
    private final ChainMemory chainMemory;

    /**
     * Creates an instance whose chains may use a share of the heap.
     *
     * @param client the client of the store VMs
     */
    public Conversations(ConversationClient client) {
        this(client, ChainMemory.ofHeap());
    }

    Conversations(ConversationClient client, ChainMemory chainMemory) {
        this.client = client;
        this.chainMemory = chainMemory;
        this.circuitBreaker = new QuorumCircuitBreaker(client::nanos);
    }

    /**
     * Reserves the tokens of a turn and reads the chain of turns that precede it. The caller releases the memory of the
     * chain when the turn has ended.
     *
     * @param request the turn to begin
     * @return completes with the outcome; never fails
     */
    public CompletableFuture<BeginResult> begin(BeginRequest request) {
        int generatedTokens = settledTokens.lowerBound(request.program());
        if (request.budget().isPresent()
                && generatedTokens + request.maxTokens() > request.budget().getAsInt()) {
            return CompletableFuture.completedFuture(new BeginResult.BudgetSpent(generatedTokens, generatedTokens));
        }
        if (!circuitBreaker.tryAcquire()) {
            return CompletableFuture.completedFuture(
                    new BeginResult.Unavailable("no quorum of the store VMs answered the latest request"));
        }
        long startNanos = client.nanos();
        CompletableFuture<Void> reserved = request.budget().isEmpty()
                ? CompletableFuture.completedFuture(null)
                : client.write(
                        List.of(grant(request, GrantState.RESERVED)),
                        Optional.empty(),
                        request.origin(),
                        Optional.empty(),
                        request.retention(),
                        request.timeout());
        return reserved.thenCompose(done ->
                        client.read(request.program(), request.previous(), namedStream(request), request.timeout()))
                .thenCompose(records -> {
                    recordQuorumReply();
                    return admit(request, records);
                })
                .exceptionally(failure -> {
                    if (StepException.unwrap(failure) instanceof StoresFullException) {
                        recordQuorumReply();
                    } else {
                        recordQuorumFailure(startNanos, failure);
                    }
                    BeginResult result = new BeginResult.Unavailable(
                            StepException.unwrap(failure).getMessage());
                    return result;
                })
                .whenComplete((result, failure) -> {
                    if (request.budget().isPresent() && !(result instanceof BeginResult.Granted)) {
                        release(request.program(), request.request(), request.retention());
                    }
                });
    }

    private void recordQuorumReply() {
        if (circuitBreaker.recordSuccess()) {
            LOG.log(Logger.Level.INFO, LogLine.of("quorum_restored").toString());
        }
    }

    private void recordQuorumFailure(long startNanos, Throwable failure) {
        if (circuitBreaker.recordFailure(startNanos)) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("quorum_lost").failure(failure).toString());
        }
    }

    /**
     * Commits a completed turn of a stored conversation.
     *
     * @param grant its settled grant, if the program has a budget
     * @param turn the turn
     * @param lineage the lineage with which the turn was granted
     * @param retention the retention period of all of them
     * @param timeout how long to retry
     * @return completes once a write quorum has them on disk; fails with StepException on a timeout
     */
    public CompletableFuture<Void> commit(
            Optional<Grant> grant, Turn turn, TurnLineage lineage, Duration retention, Duration timeout) {
        return client.write(
                grant.stream().toList(),
                Optional.of(turn),
                Optional.empty(),
                Optional.of(lineage.named(turn.id())),
                retention,
                timeout);
    }

    /**
     * Commits a completed turn whose lineage is not known.
     *
     * @param grant its settled grant, if the program has a budget
     * @param turn the turn, if the conversation is stored
     * @param retention the retention period of both
     * @param timeout how long to retry
     * @return completes once a write quorum has both on disk; fails with StepException on a timeout
     */
    public CompletableFuture<Void> commit(
            Optional<Grant> grant, Optional<Turn> turn, Duration retention, Duration timeout) {
        return client.write(grant.stream().toList(), turn, retention, timeout);
    }

    /**
     * Releases a reservation in the background. Only valid if no runner has started the turn or will start it.
     *
     * @param program the program
     * @param request the request ID
     * @param retention the retention period of the released grant
     */
    public void release(String program, String request, Duration retention) {
        writeInBackground(new Grant(program, request, GrantState.RELEASED, 0, ""), retention);
    }

    /**
     * Writes a grant in the background; a failure is only logged.
     *
     * @param grant the grant
     * @param retention the retention period of the grant
     */
    public void writeInBackground(Grant grant, Duration retention) {
        client.write(List.of(grant), Optional.empty(), retention, BACKGROUND_WRITE_TIMEOUT)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        // The reservation still counts with its maximum, so the budget is not exceeded.
                        LOG.log(
                                Logger.Level.WARNING,
                                () -> LogLine.of("grant_write_failed")
                                        .with("program", grant.program())
                                        .with("request", grant.request())
                                        .with("state", grant.state())
                                        .failure(failure)
                                        .toString());
                    }
                });
    }

    /**
     * Writes the origin of a stream in the background; a failure is only logged.
     *
     * @param origin the origin
     * @param retention the retention period of the origin
     */
    public void recordOrigin(StreamOrigin origin, Duration retention) {
        client.write(
                        List.of(),
                        Optional.empty(),
                        Optional.of(origin),
                        Optional.empty(),
                        retention,
                        BACKGROUND_WRITE_TIMEOUT)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        // The stream cannot be continued if it is interrupted.
                        LOG.log(
                                Logger.Level.WARNING,
                                () -> LogLine.of("stream_origin_write_failed")
                                        .with("stream", origin.stream())
                                        .with("service", origin.service())
                                        .with("version", origin.softwareVersion())
                                        .failure(failure)
                                        .toString());
                    }
                });
    }

    /**
     * Writes grants to a write quorum.
     *
     * @param grants the grants
     * @param retention the retention period of the grants
     * @param timeout how long to retry
     * @return completes once a write quorum has them on disk; fails with StepException on a timeout
     */
    public CompletableFuture<Void> writeGrants(List<Grant> grants, Duration retention, Duration timeout) {
        return client.write(grants, Optional.empty(), retention, timeout);
    }

    /**
     * Reads the grants of a program from a read quorum.
     *
     * @param program the program
     * @param timeout how long to retry
     * @return completes with the grants; fails with StepException on a timeout
     */
    public CompletableFuture<List<Grant>> readGrants(String program, Duration timeout) {
        return client.read(program, "", List.of(), timeout)
                .thenApply(found -> List.copyOf(found.grants().values()));
    }

    private CompletableFuture<BeginResult> admit(BeginRequest request, ConversationClient.MergedRecords records) {
        settledTokens.update(
                request.program(),
                records.grants().values().stream()
                        .filter(each -> each.state() == GrantState.SETTLED)
                        .mapToInt(Grant::countedTokens)
                        .sum());
        int countedTokens = records.grants().values().stream()
                .filter(each -> !each.request().equals(request.request()))
                .mapToInt(Grant::countedTokens)
                .sum();
        if (request.budget().isPresent()
                && countedTokens + request.maxTokens() > request.budget().getAsInt()) {
            return CompletableFuture.completedFuture(
                    new BeginResult.BudgetSpent(countedTokens, settledTokens.lowerBound(request.program())));
        }
        List<Grant> settled = records.grants().values().stream()
                .filter(each -> each.state() == GrantState.SETTLED && !each.isAttempt())
                .toList();
        if (!request.previous().isEmpty() && !records.turnIds().contains(request.previous())) {
            return CompletableFuture.completedFuture(new BeginResult.NoSuchTurn());
        }
        return resumedOrigin(request, records).thenCompose(origin -> readChain(request, records, settled, origin));
    }

    private static List<String> namedStream(BeginRequest request) {
        return request.resumption() instanceof ResumedStream.Named named ? List.of(named.stream()) : List.of();
    }

    private CompletableFuture<Optional<StreamOrigin>> resumedOrigin(
            BeginRequest request, ConversationClient.MergedRecords records) {
        return switch (request.resumption()) {
            case ResumedStream.None ignored -> CompletableFuture.completedFuture(Optional.empty());
            case ResumedStream.Named named ->
                CompletableFuture.completedFuture(
                        Optional.ofNullable(records.origins().get(named.stream())));
            case ResumedStream.OfProgram program -> sharedOrigin(request, records, program.streamPrefix());
        };
    }

    /**
     * Reads the origins of all streams that the program may have begun. Each of them has a grant at a write quorum since
     * before a runner received it, so if all have the same origin, an interrupted one has it as well.
     */
    private CompletableFuture<Optional<StreamOrigin>> sharedOrigin(
            BeginRequest request, ConversationClient.MergedRecords records, String streamPrefix) {
        List<String> streams = records.grants().values().stream()
                .filter(each -> each.state() != GrantState.RELEASED && !each.isAttempt())
                .map(Grant::request)
                .filter(each -> !each.equals(request.request()))
                .map(streamPrefix::concat)
                .toList();
        return client.read("", "", streams, request.timeout()).thenApply(found -> {
            Map<String, StreamOrigin> origins = found.origins();
            boolean shared = origins.values().stream()
                            .map(StreamOrigin::place)
                            .distinct()
                            .count()
                    == 1;
            return shared && origins.keySet().containsAll(streams)
                    ? origins.values().stream().findAny()
                    : Optional.empty();
        });
    }

    /** Reads the rest of the chain. A failure concerns this turn only, as a read quorum has answered. */
    private CompletableFuture<BeginResult> readChain(
            BeginRequest request,
            ConversationClient.MergedRecords records,
            List<Grant> settled,
            Optional<StreamOrigin> origin) {
        ChainMemory.Reservation reservation = chainMemory.reservation();
        return new ChainReader(client, records, reservation, request.timeout())
                .read(request.previous())
                .handle((chain, failure) -> {
                    if (failure != null) {
                        reservation.release();
                        return new BeginResult.Unavailable(
                                StepException.unwrap(failure).getMessage());
                    }
                    TurnLineage lineage = TurnLineage.of(
                            request.program(), chain.stream().map(Turn::id).toList(), records.turnPrograms());
                    List<Grant> attempts = records.grants().values().stream()
                            .filter(Grant::isAttempt)
                            .toList();
                    return new BeginResult.Granted(chain, settled, origin, lineage, attempts, reservation);
                });
    }

    private static Grant grant(BeginRequest request, GrantState state) {
        return new Grant(request.program(), request.request(), state, request.maxTokens(), "");
    }
}
