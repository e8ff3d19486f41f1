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
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Client of the store VMs on an entry node: quorum reads and writes at the newest known store set. */
public final class ConversationClient {
    private static final Logger LOG = System.getLogger(ConversationClient.class.getName());
    /** Timeout of a single request; shorter than the restart of a store VM, so that it is retried meanwhile. */
    private static final Duration REPLY_PATIENCE = Duration.ofMillis(250);
    /** Delay after which a read that the nearest members have not answered is sent to the others as well. */
    private static final Duration NEAREST_PATIENCE = Duration.ofMillis(15);
    /** Delay before a request is retried at a member. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

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
        return set.filter(known -> known.members().stream()
                                .filter(each -> calls.reaches(each.address()))
                                .count()
                        >= known.writeQuorum())
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
     * @param patience how long to retry
     * @return completes once a write quorum has them on disk; fails with StepException on a timeout
     */
    public CompletableFuture<Void> write(
            List<Grant> grants, Optional<Turn> turn, Duration retention, Duration patience) {
        QuorumCall call = new QuorumCall(
                (epoch, whole) -> new ReplicaRequest.Write(epoch, retention.toMillis(), grants, turn),
                StoreSet::writeQuorum,
                false,
                patience);
        call.start();
        return call.done.thenAccept(replies -> {});
    }

    /**
     * Reads the grants of a program and a chain of turns from the nearest read quorum. Only the nearest member sends the
     * turns themselves, the others only their IDs, to limit the traffic between availability zones.
     *
     * @param program the program; empty for none
     * @param lastTurn the ID of the last turn of the chain; empty for none
     * @param patience how long to retry
     * @return completes with the merged replies; fails with StepException on a timeout
     */
    CompletableFuture<Joined> read(String program, String lastTurn, Duration patience) {
        return read(program, lastTurn, true, patience);
    }

    /**
     * Reads the same from all members, each of which sends the turns themselves.
     *
     * @param program the program; empty for none
     * @param lastTurn the ID of the last turn of the chain; empty for none
     * @param patience how long to retry
     * @return completes with the merged replies of the first read quorum; fails with StepException on a timeout
     */
    CompletableFuture<Joined> readAtAll(String program, String lastTurn, Duration patience) {
        return read(program, lastTurn, false, patience);
    }

    private CompletableFuture<Joined> read(String program, String lastTurn, boolean nearest, Duration patience) {
        QuorumCall call = new QuorumCall(
                (epoch, whole) -> new ReplicaRequest.Read(epoch, program, lastTurn, whole),
                StoreSet::readQuorum,
                nearest,
                patience);
        call.start();
        return call.done.thenApply(Joined::of);
    }

    /**
     * Reads single turns from all members without waiting for a quorum.
     *
     * @param turns the IDs of the turns
     * @return completes with the turns found, repeated if several members have them; never fails
     */
    CompletableFuture<List<Turn>> fetch(List<String> turns) {
        List<CompletableFuture<List<Turn>>> asked = set.stream()
                .flatMap(known -> known.members().stream())
                .map(each -> calls.ask(each.address(), new ReplicaRequest.Fetch(turns), REPLY_PATIENCE)
                        .handle((reply, failure) ->
                                reply instanceof ReplicaReply.Found found ? found.turns() : List.<Turn>of()))
                .toList();
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(all ->
                        asked.stream().flatMap(each -> each.join().stream()).toList());
    }

    /**
     * The merged replies of a read quorum.
     *
     * @param grants the grants by request ID
     * @param turns the turns by ID
     * @param turnIds the IDs of all turns found, including those that were not sent
     */
    record Joined(Map<String, Grant> grants, Map<String, Turn> turns, Set<String> turnIds) {
        static Joined of(List<ReplicaReply> replies) {
            Map<String, Grant> grants = new HashMap<>();
            Map<String, Turn> turns = new HashMap<>();
            Set<String> turnIds = new HashSet<>();
            replies.stream().map(ReplicaReply.Found.class::cast).forEach(found -> {
                found.grants().forEach(each -> grants.merge(each.request(), each, Grant::merge));
                found.turns().forEach(each -> turns.put(each.id(), each));
                turnIds.addAll(found.turnIds());
            });
            return new Joined(grants, turns, turnIds);
        }
    }

    private interface RequestAt {
        ReplicaRequest at(long epoch, boolean whole);
    }

    private interface Needed {
        int of(StoreSet set);
    }

    /** A request to all members, or first to the nearest, that is retried until enough of one epoch have answered. */
    private final class QuorumCall {
        private final CompletableFuture<List<ReplicaReply>> done = new CompletableFuture<>();
        private final RequestAt request;
        private final Needed needed;
        private final boolean nearestFirst;
        private final Duration patience;
        private final long endNanos;
        private final Set<StoreMember> asked = new HashSet<>();
        private final Map<String, ReplicaReply> good = new HashMap<>();
        private long epoch;
        private String lastTrouble = "no store set is known yet";

        private QuorumCall(RequestAt request, Needed needed, boolean nearestFirst, Duration patience) {
            this.request = request;
            this.needed = needed;
            this.nearestFirst = nearestFirst;
            this.patience = patience;
            this.endNanos = loop.clock().nanos() + patience.toNanos();
        }

        private void start() {
            loop.schedule(
                    patience,
                    () -> done.completeExceptionally(new StepException(
                            Step.COMMIT,
                            "stores",
                            good.size() + " store VMs answered in time, fewer than a quorum; last error: "
                                    + lastTrouble)));
            begin();
        }

        private void begin() {
            if (over()) {
                return;
            }
            if (set.isEmpty()) {
                loop.schedule(RETRY_PAUSE, this::begin);
                return;
            }
            StoreSet target = set.get();
            epoch = target.epoch();
            good.clear();
            asked.clear();
            if (!nearestFirst) {
                askOthers(target);
                return;
            }
            List<StoreMember> nearest = target.members().stream()
                    .sorted(Comparator.comparing((StoreMember each) -> !calls.reaches(each.address()))
                            .thenComparingDouble(each -> calls.readLatencyNanos(each.address())))
                    .limit(needed.of(target))
                    .toList();
            nearest.forEach(member -> ask(target, member, member.equals(nearest.getFirst())));
            loop.schedule(NEAREST_PATIENCE, () -> askOthers(target));
        }

        /** Sends the request to all members that it was not sent to yet. */
        private void askOthers(StoreSet target) {
            target.members().stream()
                    .filter(each -> !asked.contains(each))
                    .toList()
                    .forEach(member -> ask(target, member, true));
        }

        private void ask(StoreSet target, StoreMember member, boolean whole) {
            if (over() || target.epoch() != epoch) {
                return;
            }
            asked.add(member);
            calls.ask(member.address(), request.at(target.epoch(), whole), REPLY_PATIENCE)
                    .whenComplete((reply, failure) -> answered(target, member, whole, reply, failure));
        }

        private void answered(
                StoreSet target, StoreMember member, boolean whole, ReplicaReply reply, Throwable failure) {
            if (over() || target.epoch() != epoch) {
                return;
            }
            if (failure != null) {
                retry(target, member, whole, "no reply from " + member.name());
                return;
            }
            switch (reply) {
                case ReplicaReply.Written written -> count(target, member, written);
                case ReplicaReply.Found found -> count(target, member, found);
                case ReplicaReply.Stale stale -> {
                    adopt(stale.set());
                    begin();
                }
                case ReplicaReply.Behind ignored -> tell(target, member, whole);
                case ReplicaReply.Incomplete ignored ->
                    retry(target, member, whole, member.name() + " has not synchronized yet");
                case ReplicaReply.Keys ignored -> retry(target, member, whole, "unexpected reply of type Keys");
                case ReplicaReply.Progress ignored -> retry(target, member, whole, "unexpected reply of type Progress");
            }
        }

        private void count(StoreSet target, StoreMember member, ReplicaReply reply) {
            good.put(member.disk(), reply);
            if (good.size() >= needed.of(target)) {
                done.complete(List.copyOf(good.values()));
            }
        }

        /** Sends the set to a member at an earlier epoch, which may be unable to read it from the platform. */
        private void tell(StoreSet target, StoreMember member, boolean whole) {
            lastTrouble = member.name() + " has not adopted the current epoch yet";
            calls.ask(member.address(), new ReplicaRequest.Tell(Optional.of(target)), REPLY_PATIENCE)
                    .whenComplete((reply, failure) -> retry(target, member, whole, lastTrouble));
        }

        private void retry(StoreSet target, StoreMember member, boolean whole, String trouble) {
            lastTrouble = trouble;
            if (!over() && target.epoch() == epoch) {
                askOthers(target);
            }
            loop.schedule(RETRY_PAUSE, () -> ask(target, member, whole));
        }

        private boolean over() {
            return done.isDone() || loop.clock().nanos() - endNanos >= 0;
        }
    }
}
