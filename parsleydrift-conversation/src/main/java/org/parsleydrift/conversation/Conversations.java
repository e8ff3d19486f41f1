package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;

/**
 * Begins and ends turns. Tokens are reserved first and counted after: the reservation goes to a write quorum, and only
 * then are the program's grants read from a read quorum and judged. Of any turns that begin at the same time, the last
 * to finish its write reads all others' reservations; so no set of them can pass together when the budget does not hold
 * them all. Judging on the replies to the write alone would let three pass pairwise.
 */
public final class Conversations {
    private static final Logger LOG = System.getLogger(Conversations.class.getName());
    /** How long the store VMs are tried to give a reservation back, or to note the end of a turn that was passed on. */
    private static final Duration BACKGROUND_PATIENCE = Duration.ofSeconds(20);

    private final ConversationClient client;
    private final SpentPrograms spent = new SpentPrograms();
    private final QuorumHealth health;

    /**
     * Makes it.
     *
     * @param client the way to the store VMs
     */
    public Conversations(ConversationClient client) {
        this.client = client;
        this.health = new QuorumHealth(client::nanos);
    }

    /**
     * Reserves a turn's tokens and reads the chain that it goes on from.
     *
     * @param begin what the turn needs
     * @return whether it may run; never fails
     */
    public CompletableFuture<BeginResult> begin(BeginRequest begin) {
        int generated = spent.atLeast(begin.program());
        if (begin.budget().isPresent()
                && generated + begin.mostTokens() > begin.budget().getAsInt()) {
            return CompletableFuture.completedFuture(new BeginResult.BudgetSpent(generated, generated));
        }
        if (!health.mayTry()) {
            return CompletableFuture.completedFuture(
                    new BeginResult.Unavailable("no quorum answered the turn that tried last"));
        }
        long begunNanos = client.nanos();
        CompletableFuture<Void> reserved = begin.budget().isEmpty()
                ? CompletableFuture.completedFuture(null)
                : client.write(
                        List.of(grant(begin, GrantState.RESERVED)),
                        Optional.empty(),
                        begin.retention(),
                        begin.patience());
        return reserved.thenCompose(done -> client.read(begin.program(), begin.previous(), begin.patience()))
                .thenCompose(found -> {
                    storesAnswer();
                    return judge(begin, found);
                })
                .exceptionally(failure -> {
                    storesSilent(begunNanos, failure);
                    BeginResult result = new BeginResult.Unavailable(
                            StepException.unwrap(failure).getMessage());
                    return result;
                })
                .whenComplete((result, failure) -> {
                    if (begin.budget().isPresent() && !(result instanceof BeginResult.Granted)) {
                        release(begin.program(), begin.request(), begin.retention());
                    }
                });
    }

    private void storesAnswer() {
        if (health.answered()) {
            LOG.log(Logger.Level.INFO, LogLine.of("stores_answer").toString());
        }
    }

    private void storesSilent(long begunNanos, Throwable failure) {
        if (health.waitedInVain(begunNanos)) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("stores_silent").failure(failure).toString());
        }
    }

    /**
     * Notes the end of a turn that ended whole.
     *
     * @param grant its grant, if the program has a budget
     * @param turn what was said, if it is kept
     * @param retention how long it is needed
     * @param patience how long to try
     * @return done once it survives
     */
    public CompletableFuture<Void> commit(
            Optional<Grant> grant, Optional<Turn> turn, Duration retention, Duration patience) {
        return client.write(grant.stream().toList(), turn, retention, patience);
    }

    /**
     * Gives a reservation back; only for a turn that no runner has begun or will begin.
     *
     * @param program the program
     * @param request the id of the request
     * @param retention how long it is needed
     */
    public void release(String program, String request, Duration retention) {
        writeInBackground(new Grant(program, request, GrantState.RELEASED, 0, ""), retention);
    }

    /**
     * Notes in the background what a turn that was passed on whole has generated.
     *
     * @param grant the settled grant
     * @param retention how long it is needed
     */
    public void writeInBackground(Grant grant, Duration retention) {
        client.write(List.of(grant), Optional.empty(), retention, BACKGROUND_PATIENCE)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        // The reservation stays at its most, which errs on the side of the budget.
                        LOG.log(
                                Logger.Level.WARNING,
                                () -> LogLine.of("grant_not_noted")
                                        .with("program", grant.program())
                                        .with("request", grant.request())
                                        .with("state", grant.state())
                                        .failure(failure)
                                        .toString());
                    }
                });
    }

    private CompletableFuture<BeginResult> judge(BeginRequest begin, ConversationClient.Joined found) {
        spent.settled(
                begin.program(),
                found.grants().values().stream()
                        .filter(each -> each.state() == GrantState.SETTLED)
                        .mapToInt(Grant::countedTokens)
                        .sum());
        int counted = found.grants().values().stream()
                .filter(each -> !each.request().equals(begin.request()))
                .mapToInt(Grant::countedTokens)
                .sum();
        if (begin.budget().isPresent()
                && counted + begin.mostTokens() > begin.budget().getAsInt()) {
            return CompletableFuture.completedFuture(
                    new BeginResult.BudgetSpent(counted, spent.atLeast(begin.program())));
        }
        List<Grant> settled = found.grants().values().stream()
                .filter(each -> each.state() == GrantState.SETTLED)
                .toList();
        if (!begin.previous().isEmpty() && !found.turnIds().contains(begin.previous())) {
            return CompletableFuture.completedFuture(new BeginResult.NoSuchTurn());
        }
        return assemble(begin, found.turns(), settled, true);
    }

    /** Each member gives the chain as far as it holds it; a hole in what they hold together is looked for once more. */
    private CompletableFuture<BeginResult> assemble(
            BeginRequest begin, Map<String, Turn> turns, List<Grant> settled, boolean mayFetch) {
        Deque<Turn> chain = new ArrayDeque<>();
        String id = begin.previous();
        while (!id.isEmpty()) {
            Turn turn = turns.get(id);
            if (turn == null) {
                return mayFetch
                        ? fetchHole(begin, turns, settled, id)
                        : CompletableFuture.completedFuture(
                                new BeginResult.Unavailable("turn " + id + " of the chain was not found"));
            }
            chain.addFirst(turn);
            id = turn.previous();
        }
        return CompletableFuture.completedFuture(new BeginResult.Granted(List.copyOf(chain), settled));
    }

    private CompletableFuture<BeginResult> fetchHole(
            BeginRequest begin, Map<String, Turn> turns, List<Grant> settled, String missing) {
        return client.readAtAll("", missing, begin.patience()).thenCompose(more -> {
            turns.putAll(more.turns());
            return assemble(begin, turns, settled, more.turns().containsKey(missing));
        });
    }

    private static Grant grant(BeginRequest begin, GrantState state) {
        return new Grant(begin.program(), begin.request(), state, begin.mostTokens(), "");
    }
}
