package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    /**
     * Whether a write quorum is within direct reach, as far as the last requests tell.
     *
     * @return false if too many paths gave no reply
     */
    public boolean reachesStores() {
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
                epoch -> new ReplicaRequest.Write(epoch, retention.toMillis(), grants, turn),
                StoreSet::writeQuorum,
                patience);
        call.start();
        return call.done.thenAccept(replies -> {});
    }

    /**
     * Reads a program's grants and a chain at a read quorum.
     *
     * @param program the program; empty for none
     * @param lastTurn the last turn of the chain; empty for none
     * @param patience how long to try
     * @return what was found, joined; fails with StepException
     */
    CompletableFuture<Joined> read(String program, String lastTurn, Duration patience) {
        QuorumCall call = new QuorumCall(
                epoch -> new ReplicaRequest.Read(epoch, program, lastTurn), StoreSet::readQuorum, patience);
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
     */
    record Joined(Map<String, Grant> grants, Map<String, Turn> turns) {
        static Joined of(List<ReplicaReply> replies) {
            Map<String, Grant> grants = new HashMap<>();
            Map<String, Turn> turns = new HashMap<>();
            replies.stream().map(ReplicaReply.Found.class::cast).forEach(found -> {
                found.grants().forEach(each -> grants.merge(each.request(), each, Grant::join));
                found.turns().forEach(each -> turns.put(each.id(), each));
            });
            return new Joined(grants, turns);
        }
    }

    private interface RequestAt {
        ReplicaRequest at(long epoch);
    }

    private interface Needed {
        int of(StoreSet set);
    }

    /** One request to all members, until enough of one epoch have answered it. */
    private final class QuorumCall {
        private final CompletableFuture<List<ReplicaReply>> done = new CompletableFuture<>();
        private final RequestAt request;
        private final Needed needed;
        private final Duration patience;
        private final long endNanos;
        private final Map<String, ReplicaReply> good = new HashMap<>();
        private long epoch;
        private String lastTrouble = "no store set known";

        private QuorumCall(RequestAt request, Needed needed, Duration patience) {
            this.request = request;
            this.needed = needed;
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
            target.members().forEach(member -> ask(target, member));
        }

        private void ask(StoreSet target, StoreMember member) {
            if (over() || target.epoch() != epoch) {
                return;
            }
            calls.ask(member.address(), request.at(target.epoch()), REPLY_PATIENCE)
                    .whenComplete((reply, failure) -> answered(target, member, reply, failure));
        }

        private void answered(StoreSet target, StoreMember member, ReplicaReply reply, Throwable failure) {
            if (over() || target.epoch() != epoch) {
                return;
            }
            if (failure != null) {
                retry(target, member, "no reply of " + member.name());
                return;
            }
            switch (reply) {
                case ReplicaReply.Written written -> count(target, member, written);
                case ReplicaReply.Found found -> count(target, member, found);
                case ReplicaReply.Stale stale -> {
                    adopt(stale.set());
                    begin();
                }
                case ReplicaReply.Behind ignored -> tell(target, member);
                case ReplicaReply.Incomplete ignored -> retry(target, member, member.name() + " is not complete");
                case ReplicaReply.Keys ignored -> retry(target, member, "unexpected reply");
                case ReplicaReply.Progress ignored -> retry(target, member, "unexpected reply");
            }
        }

        private void count(StoreSet target, StoreMember member, ReplicaReply reply) {
            good.put(member.disk(), reply);
            if (good.size() >= needed.of(target)) {
                done.complete(List.copyOf(good.values()));
            }
        }

        /** A member that was away learns the set from those who need it, also when the platform turns it away. */
        private void tell(StoreSet target, StoreMember member) {
            lastTrouble = member.name() + " is at an earlier epoch";
            calls.ask(member.address(), new ReplicaRequest.Tell(Optional.of(target)), REPLY_PATIENCE)
                    .whenComplete((reply, failure) -> retry(target, member, lastTrouble));
        }

        private void retry(StoreSet target, StoreMember member, String trouble) {
            lastTrouble = trouble;
            loop.schedule(RETRY_PAUSE, () -> ask(target, member));
        }

        private boolean over() {
            return done.isDone() || loop.clock().nanos() - endNanos >= 0;
        }
    }
}
