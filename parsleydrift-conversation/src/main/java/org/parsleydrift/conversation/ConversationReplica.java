package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/**
 * A replica of the conversations on one store VM: stores turns and grants on disk and answers entry nodes and other
 * members. Each change of the store set starts a new epoch. A member that adopts it rejects writes of earlier epochs, and
 * serves reads only after it has synchronized all committed records of those epochs. Without this rule, a member that was
 * unreachable or lost its disk could deny that a committed turn exists, or under-count a token budget.
 */
public final class ConversationReplica implements ReplicaCalls.Handler {
    private static final Logger LOG = System.getLogger(ConversationReplica.class.getName());
    /** Delay before a failed synchronization is retried. */
    private static final Duration SYNC_RETRY_DELAY = Duration.ofMillis(40);

    /** Factor on the requested retention, as a margin for clock skew between VMs. */
    private static final int RETENTION_FACTOR = 3;

    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

    private final EventLoop loop;
    private final DurableLog log;
    private final String name;
    private final RecordRoom room;
    private final RecordIndex records = new RecordIndex();
    private ReplicaCalls calls;
    private ReplicaState state;
    private boolean isSynchronizing;
    private final ReplicaSynchronization.Owner synchronizationOwner = new ReplicaSynchronization.Owner() {
        @Override
        public long adoptedEpoch() {
            return state.adoptedEpoch();
        }

        @Override
        public void adoptNewer(StoreSet newer) {
            adopt(newer);
        }

        @Override
        public void onEnded(StoreSet set, boolean isComplete, int recordCount) {
            onSynchronizationEnded(set, isComplete, recordCount);
        }
    };

    /**
     * Opens a replica without a limit of its memory and replays its log.
     *
     * @param loop the event loop that all methods are called on
     * @param log the durable storage of this VM
     * @param name the name of this VM
     * @param diskIdGenerator generates the disk ID if the storage is empty
     */
    public ConversationReplica(EventLoop loop, DurableLog log, String name, Supplier<String> diskIdGenerator) {
        this(loop, log, name, diskIdGenerator, Long.MAX_VALUE);
    }

    /**
     * Opens the replica and replays its log.
     *
     * @param loop the event loop that all methods are called on
     * @param log the durable storage of this VM
     * @param name the name of this VM
     * @param diskIdGenerator generates the disk ID if the storage is empty
     * @param maxBytes memory of the records from which on new programs are rejected, bytes
     */
    public ConversationReplica(
            EventLoop loop, DurableLog log, String name, Supplier<String> diskIdGenerator, long maxBytes) {
        this.room = new RecordRoom(maxBytes);
        this.loop = loop;
        this.log = log;
        this.name = name;
        long now = nowMillis();
        records.replay(log, now);
        Optional<ReplicaState> savedState = log.state().map(ReplicaState::decode);
        state = savedState.orElseGet(() -> new ReplicaState(diskIdGenerator.get(), Optional.empty(), 0));
        if (savedState.isEmpty()) {
            log.saveState(state.encode());
        }
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("store_opened")
                        .with("vm", name)
                        .with("disk", state.diskId())
                        .with("new_disk", savedState.isEmpty())
                        .with("turns", records.size())
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
        loop.scheduleWithFixedDelay(EXPIRY_PERIOD, this::expire);
        synchronize();
    }

    /**
     * Returns the ID of the data on this disk.
     *
     * @return the disk ID, which persists across restarts
     */
    public String diskId() {
        return state.diskId();
    }

    /**
     * Returns the adopted store set.
     *
     * @return the set, or empty if none was adopted yet
     */
    public Optional<StoreSet> set() {
        return state.adoptedSet();
    }

    /**
     * Whether this replica may serve reads.
     *
     * @return true if it is a member and holds all committed records of earlier epochs
     */
    public boolean isComplete() {
        return state.adoptedSet().isPresent() && state.completeEpoch() >= state.adoptedEpoch() && isMember();
    }

    private boolean isMember() {
        return state.adoptedSet()
                .flatMap(set -> set.memberByDiskId(state.diskId()))
                .isPresent();
    }

    /**
     * Returns the epochs that this replica has adopted and completed.
     *
     * @return the progress
     */
    public ReplicaReply.Progress progress() {
        return new ReplicaReply.Progress(name, state.diskId(), state.adoptedEpoch(), state.completeEpoch());
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
        state = new ReplicaState(state.diskId(), Optional.of(set), state.completeEpoch());
        return log.saveState(state.encode()).thenAccept(saved -> loop.execute(this::synchronize));
    }

    @Override
    public CompletableFuture<ReplicaReply> handle(ReplicaRequest request) {
        return switch (request) {
            case ReplicaRequest.Write write -> write(write);
            case ReplicaRequest.Read read -> CompletableFuture.completedFuture(read(read));
            case ReplicaRequest.Fetch fetch -> CompletableFuture.completedFuture(fetch(fetch));
            case ReplicaRequest.ListRecords listRecords ->
                adopt(listRecords.set()).thenApplyAsync(adopted -> list(listRecords), loop);
            case ReplicaRequest.Heartbeat heartbeat -> {
                heartbeat.set().ifPresent(this::adopt);
                yield CompletableFuture.completedFuture(progress());
            }
        };
    }

    private CompletableFuture<ReplicaReply> write(ReplicaRequest.Write write) {
        Optional<ReplicaReply> rejection = checkEpoch(write.epoch());
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(rejection.get());
        }
        if (!isMember()) {
            // A VM that restarted with an empty disk still has its member's address, but must not acknowledge writes
            // on behalf of the lost disk.
            return CompletableFuture.completedFuture(new ReplicaReply.Incomplete());
        }
        if (room.isExceededBy(records)) {
            if (room.isExceededBy(records, growth(write))) {
                return CompletableFuture.completedFuture(new ReplicaReply.Full());
            }
            if (releasesUnknownProgram(write)) {
                // Nothing is reserved here. The program would count as known, and its next reservation be accepted.
                return CompletableFuture.completedFuture(new ReplicaReply.Written());
            }
        }
        long untilMillis = nowMillis() + RETENTION_FACTOR * write.retentionMillis();
        ProgramRecords written = ProgramRecords.of(write);
        // Append even if nothing is new: an earlier copy of the same write may not be on disk yet.
        return log.append(records.add(written, untilMillis))
                .handleAsync((done, failure) -> acknowledge(written, failure), loop);
    }

    /** Acknowledges a write, unless the log has failed to write its records or an earlier copy of them. */
    private ReplicaReply acknowledge(ProgramRecords written, Throwable failure) {
        if (failure != null) {
            records.markUnlogged(written);
        }
        if (failure != null || records.areUnlogged(written)) {
            throw new CompletionException(new StepException(
                    Step.COMMIT,
                    name,
                    "the log has not written the records" + (failure == null ? "" : ": " + failure)));
        }
        return new ReplicaReply.Written();
    }

    private RecordRoom.Growth growth(ReplicaRequest.Write write) {
        List<Grant> reserved = write.grants().stream()
                .filter(each -> each.state() == GrantState.RESERVED)
                .toList();
        if (reserved.isEmpty()) {
            return RecordRoom.Growth.RESULT;
        }
        return reserved.stream().allMatch(each -> records.knows(each.program()))
                ? RecordRoom.Growth.FURTHER_TURN
                : RecordRoom.Growth.NEW_PROGRAM;
    }

    private boolean releasesUnknownProgram(ReplicaRequest.Write write) {
        return write.turn().isEmpty()
                && write.grants().stream()
                        .allMatch(each -> each.state() == GrantState.RELEASED && !records.knows(each.program()));
    }

    private void expire() {
        records.expire(nowMillis());
        room.isExceededBy(records);
    }

    /**
     * Returns the memory that the records use.
     *
     * @return number of bytes
     */
    public long recordBytes() {
        return records.bytes();
    }

    /** Returns the IDs of the turns that this replica holds. */
    List<String> turnIds() {
        return records.turnIds();
    }

    private ReplicaReply read(ReplicaRequest.Read read) {
        return checkEpoch(read.epoch()).orElseGet(() -> isComplete() ? find(read) : new ReplicaReply.Incomplete());
    }

    private ReplicaReply find(ReplicaRequest.Read read) {
        List<Grant> grants = records.ledger(read.program());
        List<Turn> chain = records.chain(read.lastTurn());
        List<StreamOrigin> origins = read.streams().stream()
                .flatMap(each -> records.origin(each).stream())
                .toList();
        List<String> ids = chain.stream().map(Turn::id).toList();
        if (!read.includesTexts()) {
            return new ReplicaReply.Found(grants, List.of(), ids, origins, List.of(), List.of());
        }
        boolean fits = !chain.isEmpty() && chain.getFirst().textBytes() <= read.pageBytes();
        List<Turn> page = fits ? firstPage(chain, read.pageBytes()) : List.of();
        List<Integer> sizes = chain.stream().map(Turn::textBytes).toList();
        return new ReplicaReply.Found(grants, page, ids, origins, programs(page), sizes);
    }

    private ReplicaReply fetch(ReplicaRequest.Fetch fetch) {
        List<Turn> found = fetch.turnIds().stream()
                .flatMap(id -> records.turn(id).stream())
                .toList();
        List<Turn> page = firstPage(found, fetch.pageBytes());
        return new ReplicaReply.Found(
                List.of(), page, page.stream().map(Turn::id).toList(), List.of(), programs(page), List.of());
    }

    /** Returns the first turns whose texts fit into a page, or the first one if it is larger. */
    private static List<Turn> firstPage(List<Turn> turns, int pageBytes) {
        List<Turn> page = new ArrayList<>();
        long bytes = 0;
        for (Turn turn : turns) {
            bytes += turn.textBytes();
            if (!page.isEmpty() && bytes > pageBytes) {
                break;
            }
            page.add(turn);
        }
        return page;
    }

    private List<String> programs(List<Turn> turns) {
        return turns.stream().map(each -> records.programOfTurn(each.id())).toList();
    }

    private Optional<ReplicaReply> checkEpoch(long epoch) {
        if (state.adoptedSet().isEmpty() || epoch > state.adoptedEpoch()) {
            return Optional.of(new ReplicaReply.Behind());
        }
        return epoch < state.adoptedEpoch()
                ? Optional.of(new ReplicaReply.Stale(state.adoptedSet().get()))
                : Optional.empty();
    }

    /** Lists the records for a member that synchronizes; requires that this replica completed the preceding epoch. */
    private ReplicaReply list(ReplicaRequest.ListRecords request) {
        StoreSet set = request.set();
        if (state.adoptedEpoch() > set.epoch()) {
            return new ReplicaReply.Stale(state.adoptedSet().orElseThrow());
        }
        return ReplicaSynchronization.isFormerMember(set, state.diskId()) && state.completeEpoch() >= set.epoch() - 1
                ? records.list(request.after(), request.pageBytes(), nowMillis())
                : new ReplicaReply.Incomplete();
    }

    private void synchronize() {
        Optional<StoreSet> target = state.adoptedSet();
        if (isSynchronizing
                || calls == null
                || target.isEmpty()
                || state.completeEpoch() >= target.get().epoch()
                || target.get().memberByDiskId(state.diskId()).isEmpty()) {
            return;
        }
        isSynchronizing = true;
        new ReplicaSynchronization(loop, log, records, calls, state, synchronizationOwner).start();
    }

    private void onSynchronizationEnded(StoreSet set, boolean isComplete, int recordCount) {
        isSynchronizing = false;
        if (!isComplete || state.adoptedEpoch() != set.epoch()) {
            loop.schedule(SYNC_RETRY_DELAY, this::synchronize);
            return;
        }
        ReplicaState next = new ReplicaState(state.diskId(), state.adoptedSet(), set.epoch());
        log.saveState(next.encode())
                .whenComplete((saved, failure) -> loop.execute(() -> {
                    if (failure == null && state.adoptedEpoch() == set.epoch()) {
                        state = next;
                        LOG.log(
                                Logger.Level.INFO,
                                () -> LogLine.of("store_complete")
                                        .with("epoch", set.epoch())
                                        .with("synced_records", recordCount)
                                        .with("turns", records.size())
                                        .toString());
                    } else {
                        synchronize();
                    }
                }));
    }

    private long nowMillis() {
        return loop.clock().instant().toEpochMilli();
    }
}
