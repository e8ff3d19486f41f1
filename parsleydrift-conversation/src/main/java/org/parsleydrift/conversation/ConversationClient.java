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

/** An entry node's way to the store VMs: quorum writes and reads at the newest set that it has heard of. */
public final class ConversationClient {
    private static final Logger LOG = System.getLogger(ConversationClient.class.getName());
    /** Patience with one reply, ms; a healthy one takes ten at most, a store VM that starts about a second. */
    private static final Duration REPLY_PATIENCE = Duration.ofMillis(250);
    /**
     * Patience with the nearest members before the others are asked too; a read takes two ms between zones, and some ten
     * where a store VM is busy.
     */
    private static final Duration NEAREST_PATIENCE = Duration.ofMillis(15);
    /** Pause before a member that could not answer is asked again, ms. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final ReplicaCalls calls;
    private Optional<StoreSet> set = Optional.empty();

    /**
     * Makes a client.
     *
     * @param loop its loop
     * @param calls asks store VMs
     */
    public ConversationClient(EventLoop loop, ReplicaCalls calls) {
        this.loop = loop;
        this.calls = calls;
    }

    /**
     * Takes in a set if it is newer.
     *
     * @param newer a set heard of
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

    /** The time on the loop's clock. */
    long nanos() {
        return loop.clock().nanos();
    }

    /**
     * Whether a write quorum is within direct reach, as far as the last requests tell.
     *
     * @return false if too many paths gave no reply
     */
    public boolean hasReachableQuorum() {
        return set.filter(known -> known.members().stream()
                                .filter(each -> calls.reaches(each.address()))
                                .count()
                        >= known.writeQuorum())
                .isPresent();
    }

    /**
     * The newest set heard of.
     *
     * @return the set, if any
     */
    public Optional<StoreSet> set() {
        return set;
    }

    /**
     * Keeps grants and a turn at a write quorum.
     *
     * @param grants the grants
     * @param turn the turn, if any
     * @param retention how long they are needed
     * @param patience how long to try
     * @return done once a write quorum has them on disk; fails with StepException
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
     * Reads a program's grants and a chain at the nearest read quorum. The texts of the chain come from the nearest member
     * alone; the others say which turns they hold. Asking all members for all texts took a third of the bytes between
     * availability zones.
     *
     * @param program the program; empty for none
     * @param lastTurn the last turn of the chain; empty for none
     * @param patience how long to try
     * @return what was found, joined; fails with StepException
     */
    CompletableFuture<Joined> read(String program, String lastTurn, Duration patience) {
        return read(program, lastTurn, true, patience);
    }

    /**
     * Reads at all members, with all texts.
     *
     * @param program the program; empty for none
     * @param lastTurn the last turn of the chain; empty for none
     * @param patience how long to try
     * @return what was found, joined; fails with StepException
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
     * Looks for turns at all members.
     *
     * @param turns their ids
     * @return those found at members that answer
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
     * What a read quorum holds.
     *
     * @param grants grants by request
     * @param turns turns by id
     * @param turnIds ids of all turns that a member holds, also of those whose text was not asked for
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

    /** One request to the members, or first to the nearest ones, until enough of one epoch have answered it. */
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
        private String lastTrouble = "no store set known";

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
                            Step.COMMIT, "stores", good.size() + " of the quorum answered; last: " + lastTrouble)));
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

        /** Asks all that were not asked yet. */
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
                retry(target, member, whole, "no reply of " + member.name());
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
                    retry(target, member, whole, member.name() + " is not complete");
                case ReplicaReply.Keys ignored -> retry(target, member, whole, "unexpected reply");
                case ReplicaReply.Progress ignored -> retry(target, member, whole, "unexpected reply");
            }
        }

        private void count(StoreSet target, StoreMember member, ReplicaReply reply) {
            good.put(member.disk(), reply);
            if (good.size() >= needed.of(target)) {
                done.complete(List.copyOf(good.values()));
            }
        }

        /** A member that was away learns the set from those who need it, also when the platform turns it away. */
        private void tell(StoreSet target, StoreMember member, boolean whole) {
            lastTrouble = member.name() + " is at an earlier epoch";
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
