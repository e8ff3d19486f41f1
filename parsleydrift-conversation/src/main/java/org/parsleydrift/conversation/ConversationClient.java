package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Client of the store VMs on an entry node: quorum reads and writes at the newest known store set. */
public final class ConversationClient {
    private static final Logger LOG = System.getLogger(ConversationClient.class.getName());
    /** Timeout of a single request; shorter than the restart of a store VM, so that it is retried meanwhile. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(250);
    /** Delay after which a read that the nearest members have not answered is sent to the others as well. */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(15);
    /** Delay before a request is retried at a member. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);
    /**
     * Time since the last direct reply for which a store VM counts as proven to be reachable. Longer than the gaps between
     * the turns of a node in use, since each change of the proof is distributed to the whole fleet.
     */
    static final Duration PROOF_AGE = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final ReplicaCalls calls;
    private Optional<StoreSet> set = Optional.empty();

    /**
     * Creates a client without a known store set.
     *
     * @param loop the event loop that all methods are called on
     * @param calls exchanges requests with the store VMs
     */
    public ConversationClient(EventLoop loop, ReplicaCalls calls) {
        this.loop = loop;
        this.calls = calls;
    }

    /**
     * Adopts a store set if its epoch is newer than that of the known one.
     *
     * @param newer the store set
     */
    public void adopt(StoreSet newer) {
        if (set.isEmpty() || newer.epoch() > set.get().epoch()) {
            set = Optional.of(newer);
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of("store_set_known")
                            .with("epoch", newer.epoch())
                            .with(
                                    "members",
                                    newer.members().stream()
                                            .map(StoreMember::name)
                                            .toList())
                            .toString());
        }
    }

    /** Returns the monotonic time of the event loop's clock. */
    long nanos() {
        return loop.clock().nanos();
    }

    /**
     * Whether a write quorum is directly reachable, judging by the latest requests.
     *
     * @return false if the paths to too many members are broken, or if no set is known
     */
    public boolean hasReachableQuorum() {
        return hasQuorum(each -> calls.isReachable(each.address()));
    }

    /**
     * Whether a write quorum is proven to be directly reachable: its members have answered recently. A node that has sent
     * no request for a while has no proof, since it would not notice a partition.
     *
     * @return false if too few members have answered within {@link #PROOF_AGE}, or if no set is known
     */
    public boolean hasProvenQuorum() {
        return hasQuorum(each -> calls.isProvenReachable(each.address(), PROOF_AGE));
    }

    private boolean hasQuorum(Predicate<StoreMember> reachable) {
        return set.filter(known -> known.members().stream().filter(reachable).count() >= known.writeQuorum())
                .isPresent();
    }

    /**
     * Returns the newest known store set.
     *
     * @return the set, or empty if none is known yet
     */
    public Optional<StoreSet> set() {
        return set;
    }

    /**
     * Writes grants and a turn to a write quorum.
     *
     * @param grants the grants
     * @param turn the turn, if any
     * @param retention the retention period of the grants and the turn
     * @param timeout how long to retry
     * @return completes once a write quorum has them on disk; fails with StepException on a timeout
     */
    public CompletableFuture<Void> write(
            List<Grant> grants, Optional<Turn> turn, Duration retention, Duration timeout) {
        return write(grants, turn, Optional.empty(), Optional.empty(), retention, timeout);
    }

    /**
     * Writes grants, a turn and the origin of a stream to a write quorum.
     *
     * @param grants the grants
     * @param turn the turn, if any
     * @param origin the origin of a stream, if any
     * @param lineage the lineage of the turn, if it is known
     * @param retention the retention period of all of them
     * @param timeout how long to retry
     * @return completes once a write quorum has them on disk; fails with StepException on a timeout
     */
    CompletableFuture<Void> write(
            List<Grant> grants,
            Optional<Turn> turn,
            Optional<StreamOrigin> origin,
            Optional<TurnLineage> lineage,
            Duration retention,
            Duration timeout) {
        QuorumCall call = new QuorumCall(
                (epoch, includesTexts) ->
                        new ReplicaRequest.Write(epoch, retention.toMillis(), grants, turn, origin, lineage),
                StoreSet::writeQuorum,
                false,
                timeout);
        call.start();
        return call.result.thenAccept(replies -> {});
    }

    /**
     * Reads the grants of a program, a chain of turns and the origins of streams from the nearest read quorum. Only the
     * nearest member sends turns themselves, the others only their IDs, to limit the traffic between availability zones.
     * Of a chain larger than a page, only the latest turns are sent.
     *
     * @param program the program; empty for none
     * @param lastTurn the ID of the last turn of the chain; empty for none
     * @param streams the IDs of the streams
     * @param timeout how long to retry
     * @return completes with the merged replies; fails with StepException on a timeout
     */
    CompletableFuture<MergedRecords> read(String program, String lastTurn, List<String> streams, Duration timeout) {
        return read(program, lastTurn, streams, true, ReplicaRequest.PAGE_BYTES, timeout);
    }

    /**
     * Reads the grants of a program and a chain of turns from all members, each of which sends the latest turns that fit
     * into a page.
     *
     * @param program the program; empty for none
     * @param lastTurn the ID of the last turn of the chain; empty for none
     * @param timeout how long to retry
     * @return completes with the merged replies of the first read quorum; fails with StepException on a timeout
     */
    CompletableFuture<MergedRecords> readFromAll(String program, String lastTurn, Duration timeout) {
        return read(program, lastTurn, List.of(), false, ReplicaRequest.LARGE_PAGE_BYTES, timeout);
    }

    private CompletableFuture<MergedRecords> read(
            String program,
            String lastTurn,
            List<String> streams,
            boolean nearestFirst,
            int pageBytes,
            Duration timeout) {
        QuorumCall call = new QuorumCall(
                (epoch, includesTexts) ->
                        new ReplicaRequest.Read(epoch, program, lastTurn, includesTexts, streams, pageBytes),
                StoreSet::readQuorum,
                nearestFirst,
                timeout);
        call.start();
        return call.result.thenApply(MergedRecords::of);
    }

    /**
     * Reads the first page of some turns from the nearest member that has the first of them.
     *
     * @param turnIds the IDs of the turns
     * @param expectedBytes the expected size of their texts in the reply, bytes
     * @return completes with the reply, or empty if no member has sent the first turn; never fails
     */
    CompletableFuture<Optional<ReplicaReply.Found>> fetchPage(List<String> turnIds, int expectedBytes) {
        ReplicaRequest.Fetch request = new ReplicaRequest.Fetch(turnIds, ReplicaRequest.PAGE_BYTES, expectedBytes);
        return fetchFromNext(request, set.stream().flatMap(this::nearestFirst).toList());
    }

    private CompletableFuture<Optional<ReplicaReply.Found>> fetchFromNext(
            ReplicaRequest.Fetch request, List<StoreMember> members) {
        if (members.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return calls.send(members.getFirst().address(), request, REQUEST_TIMEOUT)
                .handle((reply, failure) -> reply instanceof ReplicaReply.Found found
                                && found.turnIds().contains(request.turnIds().getFirst())
                        ? CompletableFuture.completedFuture(Optional.of(found))
                        : fetchFromNext(request, members.subList(1, members.size())))
                .thenCompose(Function.identity());
    }

    private Stream<StoreMember> nearestFirst(StoreSet target) {
        return target.members().stream()
                .sorted(Comparator.comparing((StoreMember each) -> !calls.isReachable(each.address()))
                        .thenComparingDouble(each -> calls.readLatencyNanos(each.address())));
    }

    /**
     * The merged replies of a read quorum.
     *
     * @param grants the grants by request ID
     * @param turns the turns by ID
     * @param turnPrograms the known programs of these turns, by ID of the turn
     * @param turnIds the IDs of all turns found, including those that were not sent
     * @param origins the origins of streams by ID; those of which members have different ones are omitted
     * @param chainIds the IDs of the chain as far as one member has it, newest first
     * @param chainBytes the sizes of the texts of these turns, bytes; empty if they are not known
     */
    record MergedRecords(
            Map<String, Grant> grants,
            Map<String, Turn> turns,
            Map<String, String> turnPrograms,
            Set<String> turnIds,
            Map<String, StreamOrigin> origins,
            List<String> chainIds,
            List<Integer> chainBytes) {
        static MergedRecords of(List<ReplicaReply> replies) {
            Map<String, Grant> grants = new HashMap<>();
            Map<String, Turn> turns = new HashMap<>();
            Map<String, String> turnPrograms = new HashMap<>();
            Set<String> turnIds = new HashSet<>();
            Map<String, StreamOrigin> origins = new HashMap<>();
            Set<String> ambiguous = new HashSet<>();
            replies.stream().map(ReplicaReply.Found.class::cast).forEach(found -> {
                found.grants().forEach(each -> grants.merge(each.request(), each, Grant::merge));
                found.turns().forEach(each -> turns.put(each.id(), each));
                IntStream.range(
                                0,
                                Math.min(
                                        found.turns().size(),
                                        found.turnPrograms().size()))
                        .forEach(each -> turnPrograms.put(
                                found.turns().get(each).id(),
                                found.turnPrograms().get(each)));
                turnIds.addAll(found.turnIds());
                found.origins().forEach(each -> {
                    StreamOrigin known = origins.putIfAbsent(each.stream(), each);
                    if (known != null && !known.equals(each)) {
                        ambiguous.add(each.stream());
                    }
                });
            });
            origins.keySet().removeAll(ambiguous);
            Optional<ReplicaReply.Found> longest = replies.stream()
                    .map(ReplicaReply.Found.class::cast)
                    .max(Comparator.comparingInt(
                                    (ReplicaReply.Found each) -> each.turnIds().size())
                            .thenComparingInt(each -> each.turnBytes().size()));
            return new MergedRecords(
                    grants,
                    turns,
                    turnPrograms,
                    turnIds,
                    origins,
                    longest.map(ReplicaReply.Found::turnIds).orElse(List.of()),
                    longest.map(ReplicaReply.Found::turnBytes).orElse(List.of()));
        }
    }

    private interface RequestFactory {
        ReplicaRequest create(long epoch, boolean includesTexts);
    }

    private interface QuorumSize {
        int of(StoreSet set);
    }

    /** A request to all members, or first to the nearest, that is retried until enough of one epoch have answered. */
    private final class QuorumCall {
        private final CompletableFuture<List<ReplicaReply>> result = new CompletableFuture<>();
        private final RequestFactory requestFactory;
        private final QuorumSize quorumSize;
        private final boolean nearestFirst;
        private final Duration timeout;
        private final long deadlineNanos;
        private final Set<StoreMember> contacted = new HashSet<>();
        private final Set<StoreMember> fullMembers = new HashSet<>();
        private final Map<String, ReplicaReply> replies = new HashMap<>();
        private long epoch;
        private String lastError = "no store set is known yet";

        private QuorumCall(
                RequestFactory requestFactory, QuorumSize quorumSize, boolean nearestFirst, Duration timeout) {
            this.requestFactory = requestFactory;
            this.quorumSize = quorumSize;
            this.nearestFirst = nearestFirst;
            this.timeout = timeout;
            this.deadlineNanos = loop.clock().nanos() + timeout.toNanos();
        }

        private void start() {
            loop.schedule(
                    timeout,
                    () -> result.completeExceptionally(new StepException(
                            Step.COMMIT,
                            "stores",
                            replies.size() + " store VMs answered in time, fewer than a quorum; last error: "
                                    + lastError)));
            startRound();
        }

        private void startRound() {
            if (isFinished()) {
                return;
            }
            if (set.isEmpty()) {
                loop.schedule(RETRY_DELAY, this::startRound);
                return;
            }
            StoreSet target = set.get();
            epoch = target.epoch();
            replies.clear();
            contacted.clear();
            fullMembers.clear();
            if (!nearestFirst) {
                sendToRemaining(target);
                return;
            }
            List<StoreMember> nearest =
                    nearestFirst(target).limit(quorumSize.of(target)).toList();
            nearest.forEach(member -> send(target, member, member.equals(nearest.getFirst())));
            loop.schedule(HEDGE_DELAY, () -> sendToRemaining(target));
        }

        /** Sends the request to all members that it was not sent to yet. */
        private void sendToRemaining(StoreSet target) {
            target.members().stream()
                    .filter(each -> !contacted.contains(each))
                    .toList()
                    .forEach(member -> send(target, member, true));
        }

        private void send(StoreSet target, StoreMember member, boolean includesTexts) {
            if (isFinished() || target.epoch() != epoch) {
                return;
            }
            contacted.add(member);
            calls.send(member.address(), requestFactory.create(target.epoch(), includesTexts), REQUEST_TIMEOUT)
                    .whenComplete((reply, failure) -> onReply(target, member, includesTexts, reply, failure));
        }

        private void onReply(
                StoreSet target, StoreMember member, boolean includesTexts, ReplicaReply reply, Throwable failure) {
            if (isFinished() || target.epoch() != epoch) {
                return;
            }
            if (StepException.unwrap(failure) instanceof FrameTooLargeException) {
                result.completeExceptionally(failure);
                return;
            }
            if (failure != null) {
                retry(target, member, includesTexts, "no reply from " + member.name());
                return;
            }
            switch (reply) {
                case ReplicaReply.Written written -> addReply(target, member, written);
                case ReplicaReply.Found found -> addReply(target, member, found);
                case ReplicaReply.Stale stale -> {
                    adopt(stale.set());
                    startRound();
                }
                case ReplicaReply.Behind ignored -> sendSet(target, member, includesTexts);
                case ReplicaReply.Incomplete ignored ->
                    retry(target, member, includesTexts, member.name() + " has not synchronized yet");
                case ReplicaReply.Full ignored -> handleFull(target, member);
                case ReplicaReply.RecordList ignored ->
                    retry(target, member, includesTexts, "unexpected reply of type RecordList");
                case ReplicaReply.Progress ignored ->
                    retry(target, member, includesTexts, "unexpected reply of type Progress");
            }
        }

        private void addReply(StoreSet target, StoreMember member, ReplicaReply reply) {
            replies.put(member.diskId(), reply);
            if (replies.size() >= quorumSize.of(target)) {
                result.complete(List.copyOf(replies.values()));
            }
        }

        /** Fails at once if too few members have room; the others are not asked again. */
        private void handleFull(StoreSet target, StoreMember member) {
            fullMembers.add(member);
            sendToRemaining(target);
            if (target.members().size() - fullMembers.size() < quorumSize.of(target)) {
                result.completeExceptionally(new StoresFullException());
            }
        }

        /** Sends the set to a member at an earlier epoch, which may be unable to read it from the platform. */
        private void sendSet(StoreSet target, StoreMember member, boolean includesTexts) {
            lastError = member.name() + " has not adopted the current epoch yet";
            calls.send(member.address(), new ReplicaRequest.Heartbeat(Optional.of(target)), REQUEST_TIMEOUT)
                    .whenComplete((reply, failure) -> retry(target, member, includesTexts, lastError));
        }

        private void retry(StoreSet target, StoreMember member, boolean includesTexts, String error) {
            lastError = error;
            if (!isFinished() && target.epoch() == epoch) {
                sendToRemaining(target);
            }
            loop.schedule(RETRY_DELAY, () -> send(target, member, includesTexts));
        }

        private boolean isFinished() {
            return result.isDone() || loop.clock().nanos() - deadlineNanos >= 0;
        }
    }
}
