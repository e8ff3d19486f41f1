package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;

/**
 * A replica of the conversations on one store VM: stores turns and grants on disk and answers entry nodes and other
 * members. Each change of the store set starts a new epoch. A member that adopts it rejects writes of earlier epochs, and
 * serves reads only after it has synchronized all committed records of those epochs. Without this rule, a member that was
 * unreachable or lost its disk could deny that a committed turn exists, or under-count a token budget.
 */
public final class ConversationReplica implements ReplicaCalls.Handler {
    private static final Logger LOG = System.getLogger(ConversationReplica.class.getName());
    /** Delay before a failed synchronization is retried. */
    private static final Duration TAKE_OVER_PAUSE = Duration.ofMillis(40);

    private static final Duration TAKE_OVER_PATIENCE = Duration.ofMillis(700);
    /** Maximum number of turns per fetch request; limits the size of a reply. */
    private static final int FETCH_BATCH = 64;
    /** Minimum retention of synchronized records, whose original expiry is not transferred. */
    private static final long TAKEN_OVER_KEEP_MILLIS = 60_000;

    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

    private final EventLoop loop;
    private final DurableLog log;
    private final String name;
    private final HeldRecords held = new HeldRecords();
    private ReplicaCalls calls;
    private ReplicaState state;
    private boolean takingOver;

    /**
     * Opens the replica and replays its log.
     *
     * @param loop the event loop that all methods are called on
     * @param log the durable storage of this VM
     * @param name the name of this VM
     * @param freshDisk generates the disk ID if the storage is empty
     */
    public ConversationReplica(EventLoop loop, DurableLog log, String name, Supplier<String> freshDisk) {
        this.loop = loop;
        this.log = log;
        this.name = name;
        long now = nowMillis();
        log.replay().forEach(record -> held.replay(record, now));
        Optional<ReplicaState> known = log.state().map(ReplicaState::decode);
        state = known.orElseGet(() -> new ReplicaState(freshDisk.get(), Optional.empty(), 0));
        if (known.isEmpty()) {
            log.saveState(state.encode());
        }
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("store_opened")
                        .with("vm", name)
                        .with("disk", state.disk())
                        .with("new_disk", known.isEmpty())
                        .with("turns", held.size())
                        .with("adopted_epoch", state.adoptedEpoch())
                        .with("complete_epoch", state.completeEpoch())
                        .toString());
    }

    /**
     * Starts to synchronize and to expire records.
     *
     * @param ownCalls exchanges requests with the other members
     */
    public void start(ReplicaCalls ownCalls) {
        calls = ownCalls;
        loop.every(EXPIRY_PERIOD, () -> held.expire(nowMillis()));
        takeOver();
    }

    /**
     * Returns the ID of the data on this disk.
     *
     * @return the disk ID, which persists across restarts
     */
    public String disk() {
        return state.disk();
    }

    /**
     * Returns the adopted store set.
     *
     * @return the set, or empty if none was adopted yet
     */
    public Optional<StoreSet> set() {
        return state.adopted();
    }

    /**
     * Whether this replica may serve reads.
     *
     * @return true if it is a member and holds all committed records of earlier epochs
     */
    public boolean complete() {
        return state.adopted().isPresent() && state.completeEpoch() >= state.adoptedEpoch() && member();
    }

    private boolean member() {
        return state.adopted().flatMap(set -> set.byDisk(state.disk())).isPresent();
    }

    /**
     * Returns the epochs that this replica has adopted and completed.
     *
     * @return the progress
     */
    public ReplicaReply.Progress progress() {
        return new ReplicaReply.Progress(name, state.disk(), state.adoptedEpoch(), state.completeEpoch());
    }

    /**
     * Adopts a store set if its epoch is newer than that of the adopted one.
     *
     * @param set the store set
     * @return completes once the adoption survives a power loss, or at once if the set is not newer
     */
    public CompletableFuture<Void> adopt(StoreSet set) {
        if (set.epoch() <= state.adoptedEpoch()) {
            return CompletableFuture.completedFuture(null);
        }
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("store_set_adopted")
                        .with("epoch", set.epoch())
                        .with(
                                "members",
                                set.members().stream().map(StoreMember::name).toList())
                        .with("complete_epoch", state.completeEpoch())
                        .toString());
        state = new ReplicaState(state.disk(), Optional.of(set), state.completeEpoch());
        return log.saveState(state.encode()).thenAccept(saved -> loop.execute(this::takeOver));
    }

    @Override
    public CompletableFuture<ReplicaReply> handle(ReplicaRequest request) {
        return switch (request) {
            case ReplicaRequest.Write write -> write(write);
            case ReplicaRequest.Read read -> CompletableFuture.completedFuture(read(read));
            case ReplicaRequest.Fetch fetch -> CompletableFuture.completedFuture(fetch(fetch));
            case ReplicaRequest.TakeOver takeOver ->
                adopt(takeOver.set()).thenApplyAsync(adopted -> keys(takeOver.set()), loop);
            case ReplicaRequest.Tell tell -> {
                tell.set().ifPresent(this::adopt);
                yield CompletableFuture.completedFuture(progress());
            }
        };
    }

    private CompletableFuture<ReplicaReply> write(ReplicaRequest.Write write) {
        Optional<ReplicaReply> refused = checkEpoch(write.epoch());
        if (refused.isPresent()) {
            return CompletableFuture.completedFuture(refused.get());
        }
        if (!member()) {
            // A VM that restarted with an empty disk still has its member's address, but must not acknowledge writes
            // on behalf of the lost disk.
            return CompletableFuture.completedFuture(new ReplicaReply.Incomplete());
        }
        var entries = held.keep(write.grants(), write.turn().stream().toList(), write.keepMillis(), nowMillis());
        // Append even if nothing is new: an earlier copy of the same write may not be on disk yet.
        return log.append(entries).thenApply(done -> new ReplicaReply.Written());
    }

    private ReplicaReply read(ReplicaRequest.Read read) {
        return checkEpoch(read.epoch()).orElseGet(() -> complete() ? found(read) : new ReplicaReply.Incomplete());
    }

    private ReplicaReply found(ReplicaRequest.Read read) {
        List<Grant> grants = held.ledger(read.program());
        List<Turn> chain = held.chain(read.lastTurn());
        return read.texts()
                ? ReplicaReply.Found.of(grants, chain)
                : new ReplicaReply.Found(
                        grants, List.of(), chain.stream().map(Turn::id).toList());
    }

    private ReplicaReply fetch(ReplicaRequest.Fetch fetch) {
        List<Turn> found =
                fetch.turns().stream().flatMap(id -> held.turn(id).stream()).toList();
        return ReplicaReply.Found.of(List.of(), found);
    }

    private Optional<ReplicaReply> checkEpoch(long epoch) {
        if (state.adopted().isEmpty() || epoch > state.adoptedEpoch()) {
            return Optional.of(new ReplicaReply.Behind());
        }
        return epoch < state.adoptedEpoch()
                ? Optional.of(new ReplicaReply.Stale(state.adopted().get()))
                : Optional.empty();
    }

    /** Lists the records for a member that synchronizes; requires that this replica completed the preceding epoch. */
    private ReplicaReply keys(StoreSet set) {
        if (state.adoptedEpoch() > set.epoch()) {
            return new ReplicaReply.Stale(state.adopted().orElseThrow());
        }
        boolean member = set.previous().stream().anyMatch(each -> each.disk().equals(state.disk()));
        return member && state.completeEpoch() >= set.epoch() - 1
                ? new ReplicaReply.Keys(held.turnIds(), held.grants())
                : new ReplicaReply.Incomplete();
    }

    private void takeOver() {
        Optional<StoreSet> target = state.adopted();
        if (takingOver
                || calls == null
                || target.isEmpty()
                || state.completeEpoch() >= target.get().epoch()
                || target.get().byDisk(state.disk()).isEmpty()) {
            return;
        }
        takingOver = true;
        new TakeOver(target.get()).start();
    }

    private void takeOverEnded(StoreSet set, boolean complete, int taken) {
        takingOver = false;
        if (!complete || state.adoptedEpoch() != set.epoch()) {
            loop.schedule(TAKE_OVER_PAUSE, this::takeOver);
            return;
        }
        ReplicaState next = new ReplicaState(state.disk(), state.adopted(), set.epoch());
        log.saveState(next.encode())
                .whenComplete((saved, failure) -> loop.execute(() -> {
                    if (failure == null && state.adoptedEpoch() == set.epoch()) {
                        state = next;
                        LOG.log(
                                Logger.Level.INFO,
                                () -> LogLine.of("store_complete")
                                        .with("epoch", set.epoch())
                                        .with("synced_records", taken)
                                        .with("turns", held.size())
                                        .toString());
                    } else {
                        takeOver();
                    }
                }));
    }

    private long nowMillis() {
        return loop.clock().instant().toEpochMilli();
    }

    /** One attempt to synchronize all committed records of earlier epochs. */
    private final class TakeOver {
        private final StoreSet set;
        private final Map<String, ReplicaReply.Keys> keys = new HashMap<>();
        private final int needed;
        private int open;
        private int taken;
        private boolean fetching;

        private TakeOver(StoreSet set) {
            this.set = set;
            boolean ownCounts = state.completeEpoch() >= set.epoch() - 1
                    && set.previous().stream().anyMatch(each -> each.disk().equals(state.disk()));
            this.needed = set.takeOverQuorum() - (ownCounts ? 1 : 0);
        }

        private void start() {
            List<StoreMember> others = set.previous().stream()
                    .filter(each -> !each.disk().equals(state.disk()))
                    .toList();
            open = others.size();
            if (needed <= 0) {
                fetching = true;
                takeOverEnded(set, true, 0);
                return;
            }
            if (others.isEmpty()) {
                takeOverEnded(set, false, 0);
                return;
            }
            others.forEach(other -> calls.ask(other.address(), new ReplicaRequest.TakeOver(set), TAKE_OVER_PATIENCE)
                    .whenComplete((reply, failure) -> loop.execute(() -> answered(other, reply))));
        }

        private void answered(StoreMember from, ReplicaReply reply) {
            open--;
            if (fetching) {
                return;
            }
            if (reply instanceof ReplicaReply.Keys found) {
                keys.put(from.address(), found);
            } else if (reply instanceof ReplicaReply.Stale stale) {
                adopt(stale.set());
            }
            if (keys.size() >= needed) {
                fetching = true;
                fetchNext(new ArrayList<>(keys.entrySet()));
            } else if (open == 0) {
                takeOverEnded(set, false, taken);
            }
        }

        /** Stores the grants of each source, then fetches the turns that are missing here. */
        private void fetchNext(List<Map.Entry<String, ReplicaReply.Keys>> sources) {
            if (sources.isEmpty()) {
                takeOverEnded(set, true, taken);
                return;
            }
            var source = sources.removeFirst();
            var missing = new ArrayList<>(source.getValue().turns().stream()
                    .filter(id -> held.turn(id).isEmpty())
                    .toList());
            keepTaken(source.getValue().grants(), List.of(), () -> fetchTurns(source.getKey(), missing, sources));
        }

        private void fetchTurns(
                String address, List<String> missing, List<Map.Entry<String, ReplicaReply.Keys>> sources) {
            if (missing.isEmpty()) {
                fetchNext(sources);
                return;
            }
            List<String> batch = List.copyOf(missing.subList(0, Math.min(FETCH_BATCH, missing.size())));
            calls.ask(address, new ReplicaRequest.Fetch(batch), TAKE_OVER_PATIENCE)
                    .whenComplete((reply, failure) -> loop.execute(() -> {
                        if (reply instanceof ReplicaReply.Found found) {
                            missing.removeAll(batch);
                            keepTaken(List.of(), found.turns(), () -> fetchTurns(address, missing, sources));
                        } else {
                            takeOverEnded(set, false, taken);
                        }
                    }));
        }

        private void keepTaken(List<Grant> grants, List<Turn> turns, Runnable then) {
            var entries = held.keep(grants, turns, TAKEN_OVER_KEEP_MILLIS, nowMillis());
            taken += entries.size();
            log.append(entries)
                    .whenComplete((done, failure) -> loop.execute(() -> {
                        if (failure == null) {
                            then.run();
                        } else {
                            takeOverEnded(set, false, taken);
                        }
                    }));
        }
    }
}
