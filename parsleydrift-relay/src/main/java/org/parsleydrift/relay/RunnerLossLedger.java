package org.parsleydrift.relay;

import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.parsleydrift.conversation.Conversations;
import org.parsleydrift.conversation.Grant;
import org.parsleydrift.conversation.GrantState;
import org.parsleydrift.kernel.RuntimeClock;
import org.parsleydrift.placement.RunnerLoss;
import org.parsleydrift.placement.RunnerLossTracker;
import org.parsleydrift.placement.WorkKey;

/**
 * Keeps at the store VMs which runners count for a piece of work, so that the count outlives the entry processes. An attempt
 * is a grant without tokens in two ledgers: that of its program, which each turn reads as it begins and by which concurrent
 * attempts see each other, and that of the period in which it began, by which a node that starts learns of all works.
 *
 * <p>A reserved grant is an attempt under way, or one whose node has ended; a settled one was left unfinished; a released one
 * was completed or not run.
 */
final class RunnerLossLedger {
    /** Beginning of the names of the ledgers of periods; no program of a caller begins with it. */
    private static final String PERIOD_PREFIX = Grant.ATTEMPT_PREFIX + "period ";

    private static final String SEPARATOR = " ";
    private static final Duration PERIOD = Duration.ofSeconds(10);
    /** Retention period of the grants, which the store VMs keep for three times as long. */
    private static final Duration RETENTION = RunnerLossTracker.EXPIRY.dividedBy(3);
    /** Maximum time for a reservation and for reading it back, each; without an answer in it, the stores count as lost. */
    private static final Duration RESERVATION_TIMEOUT = Duration.ofMillis(300);

    private static final Duration BACKGROUND_TIMEOUT = Duration.ofSeconds(20);

    private final Conversations stores;
    private final RuntimeClock clock;
    private final String processId;
    private long lastAttempt;

    /**
     * One attempt at a runner.
     *
     * @param program program of the work; empty if the work is shared
     * @param loss the work and the runner
     * @param id id of the attempt, unique among those at the work
     * @param period number of the period in which it began
     */
    record Attempt(String program, RunnerLoss loss, String id, long period) {
        private List<Grant> grants(GrantState state) {
            String request = Grant.ATTEMPT_PREFIX
                    + String.join(
                            SEPARATOR, loss.work().toString(), HexFormat.of().toHexDigits(loss.runner()), id);
            Grant ofPeriod = new Grant(PERIOD_PREFIX + period, request, state, 0, "");
            return program.isEmpty() ? List.of(ofPeriod) : List.of(new Grant(program, request, state, 0, ""), ofPeriod);
        }
    }

    /**
     * The attempts at one piece of work that were neither completed nor released.
     *
     * @param unfinished keys of the runners at which it was left unfinished
     * @param underWay keys of the runners of attempts that may be under way
     */
    record Standing(Set<Long> unfinished, Set<Long> underWay) {
        /** Returns the keys of all runners. */
        Set<Long> runners() {
            return Stream.concat(unfinished.stream(), underWay.stream()).collect(Collectors.toUnmodifiableSet());
        }
    }

    /**
     * Creates a ledger.
     *
     * @param stores client of the store VMs
     * @param clock clock of the loop; its wall-clock time names the periods
     * @param processId differs between all processes of the fleet
     */
    RunnerLossLedger(Conversations stores, RuntimeClock clock, long processId) {
        this.stores = stores;
        this.clock = clock;
        this.processId = HexFormat.of().toHexDigits(processId);
    }

    private long currentPeriod() {
        return clock.instant().toEpochMilli() / PERIOD.toMillis();
    }

    /** Returns a new attempt, which is not written yet. */
    Attempt attempt(String program, RunnerLoss loss) {
        return new Attempt(program, loss, processId + Long.toHexString(++lastAttempt), currentPeriod());
    }

    /**
     * Writes an attempt before its runner is asked, then reads the other ones. Of several that do so at the same time, the
     * last to complete its write sees all others.
     *
     * @return completes with the other attempts at the work; fails without a quorum of the store VMs
     */
    CompletableFuture<Standing> reserve(Attempt attempt) {
        return stores.writeGrants(attempt.grants(GrantState.RESERVED), RETENTION, RESERVATION_TIMEOUT)
                .thenCompose(written -> stores.readGrants(attempt.program(), RESERVATION_TIMEOUT))
                .thenApply(grants -> standing(
                        grants.stream()
                                .filter(each -> !each.request().endsWith(SEPARATOR + attempt.id()))
                                .toList(),
                        attempt.loss().work()));
    }

    /** Returns the attempts at a piece of work that are among the grants of its program. */
    static Standing standing(List<Grant> grants, WorkKey work) {
        return new Standing(runners(grants, work, GrantState.SETTLED), runners(grants, work, GrantState.RESERVED));
    }

    private static Set<Long> runners(List<Grant> grants, WorkKey work, GrantState state) {
        return losses(grants.stream().filter(each -> each.state() == state))
                .filter(each -> each.work().equals(work))
                .map(RunnerLoss::runner)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Stream<RunnerLoss> losses(Stream<Grant> grants) {
        return grants.filter(Grant::isAttempt)
                .map(each -> each.request().substring(1).split(SEPARATOR, -1))
                .map(each -> new RunnerLoss(WorkKey.parse(each[0]), HexFormat.fromHexDigitsToLong(each[1])));
    }

    /** Writes in the background that an attempt was left unfinished. */
    CompletableFuture<Void> settle(Attempt attempt) {
        return stores.writeGrants(attempt.grants(GrantState.SETTLED), RETENTION, BACKGROUND_TIMEOUT);
    }

    /** Writes in the background that an attempt was completed or not run. */
    CompletableFuture<Void> release(Attempt attempt) {
        return stores.writeGrants(attempt.grants(GrantState.RELEASED), RETENTION, BACKGROUND_TIMEOUT);
    }

    /**
     * Reads all runners that count, for a node that starts: first the ledger of the present period, then the others.
     *
     * @param timeout how long to retry each of the two steps
     * @return completes with the works and runners; fails without a quorum of the store VMs
     */
    CompletableFuture<List<RunnerLoss>> readAll(Duration timeout) {
        long present = currentPeriod();
        return stores.readGrants(PERIOD_PREFIX + present, timeout).thenCompose(ofPresent -> {
            List<CompletableFuture<List<Grant>>> replies = otherPeriods(present)
                    .mapToObj(each -> stores.readGrants(PERIOD_PREFIX + each, timeout))
                    .toList();
            return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                    .thenApply(done -> losses(Stream.concat(
                                            Stream.of(ofPresent),
                                            replies.stream().map(CompletableFuture::join))
                                    .flatMap(List::stream)
                                    .filter(each -> each.state() != GrantState.RELEASED))
                            .toList());
        });
    }

    /** Returns the periods before the present one in which losses count, and one more on either side, as clocks differ. */
    private static LongStream otherPeriods(long present) {
        long periods = RunnerLossTracker.EXPIRY.dividedBy(PERIOD) + 1;
        return LongStream.rangeClosed(present - periods, present + 1).filter(each -> each != present);
    }
}
