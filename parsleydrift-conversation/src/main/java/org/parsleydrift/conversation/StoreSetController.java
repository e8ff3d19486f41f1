package org.parsleydrift.conversation;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.RetirementProgress;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;

/**
 * Reconciles the membership of the store set with the store VMs that are alive; runs on each store VM. The set is a single
 * shared object that is updated conditionally. Members are also sent a new set directly and need not watch the object.
 */
public final class StoreSetController {
    private static final Logger LOG = System.getLogger(StoreSetController.class.getName());
    /** Name of the shared object that holds the set. */
    public static final String SET_NAME = "set";

    private static final Duration RECONCILE_PERIOD = Duration.ofMillis(150);
    /** Long enough that a slow fsync is not mistaken for a failed member. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(400);
    /** Time without a reply after which a member may be replaced; longer than a process restart. */
    static final Duration FAILURE_TIMEOUT = Duration.ofMillis(1500);
    /** Time without a reply after which a member is removed even if the others form a quorum without it. */
    private static final Duration GONE_TIMEOUT = Duration.ofSeconds(10);
    /** Failure timeout in a set of two, which is shorter because the remaining member has no quorum. */
    private static final Duration PAIR_FAILURE_TIMEOUT = Duration.ofMillis(700);
    /** Rounds per poll of a large set while all of its members are complete. */
    private static final int ROUNDS_PER_IDLE_POLL = 2;
    /** Rounds per poll on a standby VM while all members are complete. */
    private static final int ROUNDS_PER_STANDBY_POLL = 3;

    private final EventLoop loop;
    private final SharedObjects objects;
    private final ConversationReplica replica;
    private final ReplicaCalls calls;
    private final String name;
    private final String address;
    private final boolean firstStart;
    private final MemberMonitor monitor = new MemberMonitor();
    private final int toleratedLosses;
    private final int maxMembers;
    private final Set<String> retiringVms = new HashSet<>();
    private final Set<String> reportedVms = new HashSet<>();
    private List<StoreMember> membersWaitedFor = List.of();
    private Optional<StoreSet> newestSet = Optional.empty();
    private OptionalLong revision = OptionalLong.empty();
    private boolean isListed;
    private boolean isWriting;
    private boolean isRefreshing;
    private int rounds;
    private Consumer<Boolean> watchListener = isWatcher -> {};

    /**
     * Creates a controller for one store VM.
     *
     * @param loop the event loop that all methods are called on
     * @param objects the shared objects that hold the set
     * @param replica the replica on this VM
     * @param calls the connection to the other members
     * @param name the name of this VM
     * @param address the address at which other processes reach this VM
     * @param firstStart whether the system starts for the first time; only then an initial set may be created
     * @param toleratedLosses number of disks that may be lost at once
     * @param maxMembers maximum size of the set; further VMs are standbys
     */
    public StoreSetController(
            EventLoop loop,
            SharedObjects objects,
            ConversationReplica replica,
            ReplicaCalls calls,
            String name,
            String address,
            boolean firstStart,
            int toleratedLosses,
            int maxMembers) {
        this.loop = loop;
        this.objects = objects;
        this.replica = replica;
        this.calls = calls;
        this.name = name;
        this.address = address;
        this.firstStart = firstStart;
        this.toleratedLosses = toleratedLosses;
        this.maxMembers = maxMembers;
    }

    /** Starts the periodic reconciliation. */
    public void start() {
        loop.scheduleWithFixedDelay(RECONCILE_PERIOD, this::reconcile);
    }

    /**
     * Handles changes of the shared object that holds the set.
     *
     * @param changes the changed objects
     */
    public void onSetChanged(List<SharedObject> changes) {
        isListed = true;
        changes.stream().filter(each -> !each.deleted()).forEach(this::applySet);
    }

    /**
     * Handles requested and withdrawn retirements of VMs.
     *
     * @param changes the changed objects
     */
    public void onRetirementsChanged(List<SharedObject> changes) {
        changes.forEach(each -> {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(each.deleted() ? "retirement_withdrawn" : "retirement_asked")
                            .with("vm", each.name())
                            .with("revision", each.revision())
                            .toString());
            if (each.deleted()) {
                retiringVms.remove(each.name());
                reportedVms.remove(each.name());
            } else {
                retiringVms.add(each.name());
            }
        });
    }

    private void applySet(SharedObject object) {
        try {
            StoreSet set = StoreSetJson.read(object.content());
            if (newestSet.isEmpty() || set.epoch() > newestSet.get().epoch()) {
                newestSet = Optional.of(set);
                revision = OptionalLong.of(object.revision());
                monitor.clearCompleteEpochs();
                replica.adopt(set);
                pollMembers(set);
            }
        } catch (StepException fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("store_set_unreadable").failure(fault).toString());
        }
    }

    /**
     * Sets the listener that is called in each round with whether this VM should watch the shared object. Only a few members
     * watch it; the others receive new sets from the coordinator.
     *
     * @param listener the listener
     */
    public void setWatchListener(Consumer<Boolean> listener) {
        watchListener = listener;
    }

    private void reconcile() {
        monitor.beginRound(loop.clock().nanos());
        watchListener.accept(newestSet.isEmpty()
                || monitor.isWatcher(
                        newestSet.get(),
                        replica.diskId(),
                        retiringVms,
                        loop.clock().nanos()));
        newestSet.ifPresent(this::pollMembersIfDue);
        if (!isListed || isWriting) {
            return;
        }
        if (newestSet.isEmpty()) {
            if (firstStart) {
                write(new StoreSet(1, List.of(self()), List.of()), OptionalLong.empty());
            }
            return;
        }
        MembershipPolicy.View view = view(newestSet.get());
        MembershipPolicy.nextSet(view).ifPresent(next -> write(next, revision));
        reportRetirements(view);
        logMembersWaitedFor(view);
    }

    private void logMembersWaitedFor(MembershipPolicy.View view) {
        List<StoreMember> waitedFor = MembershipPolicy.membersWaitedFor(view);
        if (!waitedFor.equals(membersWaitedFor)) {
            membersWaitedFor = waitedFor;
            LOG.log(
                    waitedFor.isEmpty() ? Logger.Level.INFO : Logger.Level.WARNING,
                    () -> LogLine.of(waitedFor.isEmpty() ? "store_member_back" : "store_member_waited_for")
                            .with("epoch", view.set().epoch())
                            .with(
                                    "members",
                                    waitedFor.stream().map(StoreMember::name).toList())
                            .with("set_size", view.set().members().size())
                            .with("tolerated_losses", view.toleratedLosses())
                            .toString());
        }
    }

    private MembershipPolicy.View view(StoreSet set) {
        long now = loop.clock().nanos();
        monitor.recordProgress(
                replica.diskId(), replica.isComplete() ? replica.progress().completeEpoch() : 0L, now);
        Duration timeout = set.members().size() == 2 ? PAIR_FAILURE_TIMEOUT : FAILURE_TIMEOUT;
        Set<String> unresponsive = unresponsiveDisks(set, timeout);
        return new MembershipPolicy.View(
                self(),
                set,
                diskIds(set, each -> monitor.isComplete(each, set.epoch())),
                unresponsive,
                unresponsiveDisks(set, GONE_TIMEOUT),
                Set.copyOf(retiringVms),
                toleratedLosses,
                maxMembers);
    }

    private Set<String> unresponsiveDisks(StoreSet set, Duration timeout) {
        long now = loop.clock().nanos();
        return diskIds(set, each -> !each.equals(replica.diskId()) && monitor.isUnresponsive(each, now, timeout));
    }

    private static Set<String> diskIds(StoreSet set, Predicate<String> filter) {
        return set.members().stream().map(StoreMember::diskId).filter(filter).collect(Collectors.toSet());
    }

    /** Polls the members: less often while all are complete, and least often on standbys, which poll every member. */
    private void pollMembersIfDue(StoreSet set) {
        rounds++;
        boolean isIdle = set.members().stream().allMatch(each -> monitor.isComplete(each.diskId(), set.epoch()));
        boolean isStandby = set.members().size() >= maxMembers
                && set.memberByDiskId(replica.diskId()).isEmpty();
        int roundsPerPoll = isStandby
                ? ROUNDS_PER_STANDBY_POLL
                : set.members().size() <= MemberMonitor.MAX_FULL_POLL_SIZE ? 1 : ROUNDS_PER_IDLE_POLL;
        if (!isIdle || rounds % roundsPerPoll == 0) {
            pollMembers(set);
        }
    }

    private void pollMembers(StoreSet set) {
        long now = loop.clock().nanos();
        monitor.selectPollTargets(set, replica.diskId(), retiringVms, now).forEach(each -> {
            // A member that is complete at this epoch already has the set.
            Optional<StoreSet> announced =
                    monitor.isComplete(each.diskId(), set.epoch()) ? Optional.empty() : newestSet;
            calls.send(each.address(), new ReplicaRequest.Heartbeat(announced), HEARTBEAT_TIMEOUT)
                    .whenComplete((reply, failure) -> {
                        if (reply instanceof ReplicaReply.Progress progress) {
                            monitor.recordProgress(
                                    progress.diskId(),
                                    progress.completeEpoch(),
                                    loop.clock().nanos());
                            refreshIfNewer(progress.adoptedEpoch());
                        }
                    });
        });
    }

    private void write(StoreSet next, OptionalLong expectedRevision) {
        isWriting = true;
        objects.put(ObjectKind.STORE_SET, SET_NAME, expectedRevision, StoreSetJson.write(next))
                .whenComplete((written, failure) -> loop.execute(() -> {
                    isWriting = false;
                    LOG.log(Logger.Level.INFO, () -> {
                        LogLine line = LogLine.of("store_set_write")
                                .with("epoch", next.epoch())
                                .with(
                                        "members",
                                        next.members().stream()
                                                .map(StoreMember::name)
                                                .toList())
                                .with("ok", failure == null);
                        return (failure == null ? line : line.failure(failure)).toString();
                    });
                    if (written != null) {
                        applySet(written);
                    } else {
                        refresh();
                    }
                }));
    }

    /** Reads the set if a member reports a newer epoch: a VM that was removed from the set is not sent the new one. */
    private void refreshIfNewer(long epoch) {
        if (newestSet.filter(known -> known.epoch() < epoch).isPresent() && !isRefreshing) {
            refresh();
        }
    }

    /** Reads the shared object; after a failed write its state is unknown. */
    private void refresh() {
        isRefreshing = true;
        objects.list(ObjectKind.STORE_SET)
                .whenComplete((list, failure) -> loop.execute(() -> {
                    isRefreshing = false;
                    if (list != null) {
                        onSetChanged(list.objects());
                    }
                }));
    }

    private void reportRetirements(MembershipPolicy.View view) {
        if (!MembershipPolicy.isCoordinator(view)) {
            return;
        }
        Set<String> memberNames =
                view.set().members().stream().map(StoreMember::name).collect(Collectors.toSet());
        boolean isReplicated =
                view.completeDisks().size() == view.set().members().size();
        retiringVms.stream()
                .filter(vm -> !memberNames.contains(vm) && isReplicated && reportedVms.add(vm))
                .toList()
                .forEach(this::reportComplete);
    }

    private void reportComplete(String vm) {
        objects.reportRetirement(vm, RetirementProgress.COMPLETE)
                .whenComplete((done, failure) -> loop.execute(() -> {
                    LOG.log(
                            Logger.Level.INFO,
                            () -> LogLine.of("retirement_reported")
                                    .with("vm", vm)
                                    .with("ok", failure == null)
                                    .toString());
                    if (failure != null) {
                        reportedVms.remove(vm);
                    }
                }));
    }

    private StoreMember self() {
        return new StoreMember(name, replica.diskId(), address);
    }
}
