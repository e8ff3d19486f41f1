package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;

/**
 * One attempt of a replica to synchronize all committed records of earlier epochs. The records of each source are listed in
 * pages, and the turns that are missing here are fetched in pages as well, so that no reply grows with their number.
 */
final class ReplicaSynchronization {
    private static final Logger LOG = System.getLogger(ReplicaSynchronization.class.getName());
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(700);
    /** Number of times that a page is requested before the synchronization begins anew. */
    private static final int PAGE_ATTEMPTS = 3;
    /** Maximum number of turns per fetch request. */
    private static final int FETCH_BATCH_SIZE = 512;
    /** Size of the texts per fetch request, which is larger than that of readers, as each page waits for the disk. */
    private static final int FETCH_PAGE_BYTES = 1 << 20;
    /** Minimum life of synchronized records, of which members of an earlier version do not send the life, ms. */
    private static final long MIN_LIFE_MILLIS = 180_000;

    private final EventLoop loop;
    private final DurableLog log;
    private final RecordIndex records;
    private final ReplicaCalls calls;
    private final Owner owner;
    private final String diskId;
    private final StoreSet set;
    private final Map<String, ReplicaReply.RecordList> recordLists = new HashMap<>();
    private final Map<String, Long> lives = new HashMap<>();
    private final int neededSources;
    private int pendingReplies;
    private int syncedRecords;
    private int pages;
    private boolean isFetching;

    /**
     * Creates an attempt.
     *
     * @param loop the event loop of the replica
     * @param log the durable storage of the replica
     * @param records the records of the replica
     * @param calls exchanges requests with the other members
     * @param state the state of the replica, which has adopted the set
     * @param owner the replica
     */
    ReplicaSynchronization(
            EventLoop loop, DurableLog log, RecordIndex records, ReplicaCalls calls, ReplicaState state, Owner owner) {
        this.loop = loop;
        this.log = log;
        this.records = records;
        this.calls = calls;
        this.owner = owner;
        this.diskId = state.diskId();
        this.set = state.adoptedSet().orElseThrow();
        boolean isOwnSource = state.completeEpoch() >= set.epoch() - 1 && isFormerMember(set, diskId);
        this.neededSources = set.syncQuorum() - (isOwnSource ? 1 : 0);
    }

    /** The replica that synchronizes. */
    interface Owner {
        /** Returns the epoch that the replica has adopted. */
        long adoptedEpoch();

        /** Adopts a set that another member has sent, which has adopted it already. */
        void adoptNewer(StoreSet newer);

        /**
         * Called once when the attempt has ended.
         *
         * @param set the set of the attempt
         * @param isComplete whether all committed records are stored
         * @param recordCount the number of records that were stored
         */
        void onEnded(StoreSet set, boolean isComplete, int recordCount);
    }

    /** Returns whether a disk belonged to the set before, so that it may have its records. */
    static boolean isFormerMember(StoreSet set, String diskId) {
        return set.previous().stream().anyMatch(each -> each.diskId().equals(diskId));
    }

    void start() {
        List<StoreMember> others = set.previous().stream()
                .filter(each -> !each.diskId().equals(diskId))
                .toList();
        pendingReplies = others.size();
        if (neededSources <= 0) {
            isFetching = true;
            owner.onEnded(set, true, 0);
            return;
        }
        if (others.isEmpty()) {
            owner.onEnded(set, false, 0);
            return;
        }
        others.forEach(other -> sendListRequest(other.address(), Optional.empty())
                .whenComplete((reply, failure) -> loop.execute(() -> onReply(other, reply))));
    }

    private CompletableFuture<ReplicaReply> sendListRequest(String address, Optional<String> after) {
        ReplicaRequest request = new ReplicaRequest.ListRecords(set, after, ReplicaRequest.PAGE_BYTES);
        return calls.send(address, request, REQUEST_TIMEOUT);
    }

    private void onReply(StoreMember from, ReplicaReply reply) {
        pendingReplies--;
        if (isFetching) {
            return;
        }
        if (reply instanceof ReplicaReply.RecordList recordList) {
            recordLists.put(from.address(), recordList);
        } else if (reply instanceof ReplicaReply.Stale stale) {
            owner.adoptNewer(stale.set());
        }
        if (recordLists.size() >= neededSources) {
            isFetching = true;
            fetchNextSource(new ArrayList<>(recordLists.entrySet()));
        } else if (pendingReplies == 0) {
            owner.onEnded(set, false, syncedRecords);
        }
    }

    /** Stores the records of each source, page by page. */
    private void fetchNextSource(List<Map.Entry<String, ReplicaReply.RecordList>> sources) {
        if (sources.isEmpty()) {
            append(List.of(), records.entriesToLogAgain(), () -> owner.onEnded(set, true, syncedRecords));
            return;
        }
        var source = sources.removeFirst();
        storePage(source.getKey(), source.getValue(), () -> fetchNextSource(sources));
    }

    private void fetchNextPage(String address, String after, int attempt, Runnable onLastStored) {
        sendListRequest(address, Optional.of(after))
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (reply instanceof ReplicaReply.RecordList page) {
                        storePage(address, page, onLastStored);
                    } else if (failure != null && attempt < PAGE_ATTEMPTS && owner.adoptedEpoch() == set.epoch()) {
                        fetchNextPage(address, after, attempt + 1, onLastStored);
                    } else {
                        if (reply instanceof ReplicaReply.Stale stale) {
                            owner.adoptNewer(stale.set());
                        }
                        owner.onEnded(set, false, syncedRecords);
                    }
                }));
    }

    /** Stores the grants and origins of a page, then the turns that are missing here, then the pages after it. */
    private void storePage(String address, ReplicaReply.RecordList list, Runnable onLastStored) {
        var missing = new ArrayList<>(
                list.turnIds().stream().filter(id -> records.turn(id).isEmpty()).toList());
        Runnable onStored = () ->
                list.lastProgram().ifPresentOrElse(last -> fetchNextPage(address, last, 1, onLastStored), onLastStored);
        lives.putAll(list.lives());
        pages++;
        list.lastProgram()
                .ifPresent(last -> LOG.log(
                        Logger.Level.INFO,
                        () -> LogLine.of("store_list_page")
                                .with("from", address)
                                .with("epoch", set.epoch())
                                .with("pages", pages)
                                .with("programs", lives.size())
                                .with("missing_turns", missing.size())
                                .with("synced_records", syncedRecords)
                                .toString()));
        Stream<ProgramRecords> grants = list.grants().stream()
                .map(each -> new ProgramRecords(each.program(), List.of(each), List.of(), List.of()));
        Stream<ProgramRecords> origins = IntStream.range(0, list.origins().size())
                .mapToObj(each -> new ProgramRecords(
                        elementOrEmpty(list.originPrograms(), each),
                        List.of(),
                        List.of(),
                        List.of(list.origins().get(each))));
        storeRecords(
                Stream.of(list.inheritedRecords(), grants, origins).flatMap(Function.identity()),
                () -> fetchTurns(address, missing, onStored));
    }

    private void fetchTurns(String address, List<String> missing, Runnable onStored) {
        if (missing.isEmpty()) {
            onStored.run();
            return;
        }
        List<String> batch = List.copyOf(missing.subList(0, Math.min(FETCH_BATCH_SIZE, missing.size())));
        calls.send(address, new ReplicaRequest.Fetch(batch, FETCH_PAGE_BYTES, FETCH_PAGE_BYTES), REQUEST_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (reply instanceof ReplicaReply.Found found) {
                        // A reply without turns shows that the source has none of the batch any more.
                        missing.removeAll(found.turnIds().isEmpty() ? batch : found.turnIds());
                        Stream<ProgramRecords> turns = IntStream.range(
                                        0, found.turns().size())
                                .mapToObj(each -> new ProgramRecords(
                                        elementOrEmpty(found.turnPrograms(), each),
                                        List.of(),
                                        List.of(found.turns().get(each)),
                                        List.of()));
                        storeRecords(turns, () -> fetchTurns(address, missing, onStored));
                    } else {
                        owner.onEnded(set, false, syncedRecords);
                    }
                }));
    }

    private static String elementOrEmpty(List<String> list, int index) {
        return index < list.size() ? list.get(index) : "";
    }

    private long lifeMillis(String program) {
        return Math.max(MIN_LIFE_MILLIS, lives.getOrDefault(program, 0L));
    }

    private void storeRecords(Stream<ProgramRecords> synced, Runnable onStored) {
        List<ProgramRecords> stored = synced.toList();
        List<DurableLog.Entry> entries = stored.stream()
                .flatMap(each ->
                        records.add(each, loop.clock().instant().toEpochMilli() + lifeMillis(each.program())).stream())
                .toList();
        append(stored, entries, onStored);
    }

    private void append(List<ProgramRecords> stored, List<DurableLog.Entry> entries, Runnable onLogged) {
        syncedRecords += entries.size();
        log.append(entries)
                .whenComplete((done, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        onLogged.run();
                    } else {
                        stored.forEach(records::markUnlogged);
                        owner.onEnded(set, false, syncedRecords);
                    }
                }));
    }
}
