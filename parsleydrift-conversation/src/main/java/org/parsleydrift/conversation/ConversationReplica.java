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
 * The store role of one VM: keeps turns and grants on disk and answers entry nodes and other members. Each change of
 * the set begins a new epoch. A member that adopts it takes no more writes of earlier ones, and answers reads again only
 * once it has taken over all that counts in them: a member that was away, or whose disk was emptied, would otherwise say
 * "no such turn" of a turn that was answered whole, or grant tokens that are spent.
 */
public final class ConversationReplica implements ReplicaCalls.Handler {
    private static final Logger LOG = System.getLogger(ConversationReplica.class.getName());
    /** Pause between rounds of taking over, ms: some round trips between zones. */
    private static final Duration TAKE_OVER_PAUSE = Duration.ofMillis(40);
    /** Patience with a member asked for keys or turns; a healthy one answers within ten ms. */
    private static final Duration TAKE_OVER_PATIENCE = Duration.ofMillis(700);
    /** Turns fetched at once: some 400 KB at the usual size of a turn. */
    private static final int FETCH_BATCH = 64;
    /** Records taken over are kept for this long at least, ms; their own end is not passed on. */
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
     * Opens the data of a store VM.
     *
     * @param loop its loop
     * @param log its disk
     * @param name the VM's name
     * @param freshDisk makes the id to give to the data if there is none yet
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
                        .with("fresh", known.isEmpty())
                        .with("turns", held.size())
                        .with("adopted_epoch", state.adoptedEpoch())
                        .with("complete_epoch", state.completeEpoch())
                        .toString());
    }

    /**
     * Begins to serve.
     *
     * @param ownCalls asks other members
     */
    public void start(ReplicaCalls ownCalls) {
        calls = ownCalls;
        loop.scheduleWithFixedDelay(EXPIRY_PERIOD, () -> held.expire(nowMillis()));
        takeOver();
    }

    /**
     * The id of the data on this disk.
     *
     * @return the id
     */
    public String disk() {
        return state.disk();
    }

    /**
     * The set in force here.
     *
     * @return the set, if one is known
     */
    public Optional<StoreSet> set() {
        return state.adopted();
    }

    /**
     * Whether it holds all that counts and may answer reads.
     *
     * @return whether it is a member and complete
     */
    public boolean complete() {
        return state.adopted().isPresent() && state.completeEpoch() >= state.adoptedEpoch() && member();
    }

    private boolean member() {
        return state.adopted().flatMap(set -> set.byDisk(state.disk())).isPresent();
    }

    /**
     * How far this member is.
     *
     * @return its progress
     */
    public ReplicaReply.Progress progress() {
        return new ReplicaReply.Progress(name, state.disk(), state.adoptedEpoch(), state.completeEpoch());
    }

    /**
     * Adopts a set if it is newer.
     *
     * @param set the set
     * @return done once the adoption survives a loss of power
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
            // A VM that came back with an empty disk has the address of the member that it was; its word would be
            // taken for that of data that is gone.
            return CompletableFuture.completedFuture(new ReplicaReply.Incomplete());
        }
        var entries = held.keep(write.grants(), write.turn().stream().toList(), write.keepMillis(), nowMillis());
        // Also without news: an earlier copy of the same write may not be on disk yet.
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

    /** Keys for a member that takes over into a set; only one that was complete in the epoch before can give them. */
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
                                        .with("taken_over", taken)
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

    /** One round of taking over all that counts in earlier epochs. */
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

        /** Takes the grants of each source, then the turns that are missing here. */
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
