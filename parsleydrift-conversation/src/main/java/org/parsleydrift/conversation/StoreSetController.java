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
 * Keeps the set of store VMs in step with the VMs that live, from one store VM. The set is one shared object, changed
 * under a condition; members are told directly, so that a change needs no watch to arrive.
 */
public final class StoreSetController {
    private static final Logger LOG = System.getLogger(StoreSetController.class.getName());
    /** Name of the one object of its kind. */
    public static final String SET_NAME = "set";

    /** Period of asking the members how far they are, ms. */
    private static final Duration ROUND = Duration.ofMillis(150);
    /** Patience with a member, ms; less than a round would take a slow sync for a death. */
    private static final Duration PATIENCE = Duration.ofMillis(400);
    /**
     * A member silent for this long may be replaced, ms: longer than a restart of a process (a second), and short enough
     * that a replacement counts again before the next disk may be lost.
     */
    static final Duration SILENT_LONG = Duration.ofMillis(1500);
    /** The same for the other one of two, ms: no turn begins or ends meanwhile, and a mistake costs one more change. */
    private static final Duration SILENT_OF_TWO = Duration.ofMillis(700);
    /** One round in so many asks the members of a large set while all of them are complete. */
    private static final int QUIET_ROUNDS = 2;
    /** The same for a VM that stands by: a silent member is missed three times in its limit. */
    private static final int STANDBY_ROUNDS = 3;

    private final EventLoop loop;
    private final SharedObjects objects;
    private final ConversationReplica replica;
    private final ReplicaCalls calls;
    private final String name;
    private final String address;
    private final boolean firstStart;
    private final MemberWatch members = new MemberWatch();
    private final int toleratedLosses;
    private final int mostMembers;
    private final Set<String> retiring = new HashSet<>();
    private final Set<String> reported = new HashSet<>();
    private Optional<StoreSet> newest = Optional.empty();
    private OptionalLong revision = OptionalLong.empty();
    private boolean listed;
    private boolean writing;
    private boolean refreshing;
    private int rounds;
    private Consumer<Boolean> watching = follows -> {};

    /**
     * Makes a keeper.
     *
     * @param loop its loop
     * @param objects the shared objects
     * @param replica the store role of this VM
     * @param calls asks other members
     * @param name this VM's name
     * @param address this VM's address for other processes
     * @param firstStart whether the whole system starts for the first time; only then may a set be made anew
     * @param toleratedLosses disks that may be lost at once
     * @param mostMembers members beyond which a VM stands by
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
            int mostMembers) {
        this.loop = loop;
        this.objects = objects;
        this.replica = replica;
        this.calls = calls;
        this.name = name;
        this.address = address;
        this.firstStart = firstStart;
        this.toleratedLosses = toleratedLosses;
        this.mostMembers = mostMembers;
    }

    /** Begins the rounds. */
    public void start() {
        loop.scheduleWithFixedDelay(ROUND, this::round);
    }

    /**
     * Takes in news of the set's object.
     *
     * @param news changed objects
     */
    public void onSetChanged(List<SharedObject> news) {
        listed = true;
        news.stream().filter(each -> !each.deleted()).forEach(this::takeIn);
    }

    /**
     * Takes in news of retirements.
     *
     * @param news changed objects
     */
    public void onRetirementsChanged(List<SharedObject> news) {
        news.forEach(each -> {
            LOG.log(
                    Logger.Level.INFO,
                    () -> LogLine.of(each.deleted() ? "retirement_withdrawn" : "retirement_asked")
                            .with("vm", each.name())
                            .with("revision", each.revision())
                            .toString());
            if (each.deleted()) {
                retiring.remove(each.name());
                reported.remove(each.name());
            } else {
                retiring.add(each.name());
            }
        });
    }

    private void takeIn(SharedObject object) {
        try {
            StoreSet set = StoreSetJson.read(object.content());
            if (newest.isEmpty() || set.epoch() > newest.get().epoch()) {
                newest = Optional.of(set);
                revision = OptionalLong.of(object.revision());
                members.setChanged();
                replica.adopt(set);
                askMembers(set);
            }
        } catch (StepException fault) {
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("store_set_unreadable").failure(fault).toString());
        }
    }

    /**
     * Says who is told, in each round, whether this VM should watch the platform for the set. Two members do so for all: the
     * others learn from the one that acts that there is a newer set.
     *
     * @param follows is told
     */
    public void setWatchListener(Consumer<Boolean> follows) {
        watching = follows;
    }

    private void round() {
        watching.accept(newest.isEmpty()
                || members.watches(
                        newest.get(), replica.disk(), retiring, loop.clock().nanos()));
        newest.ifPresent(this::askMembersInTurn);
        if (!listed || writing) {
            return;
        }
        if (newest.isEmpty()) {
            if (firstStart) {
                write(new StoreSet(1, List.of(self()), List.of()), OptionalLong.empty());
            }
            return;
        }
        SetChange.View view = view(newest.get());
        SetChange.decide(view).ifPresent(next -> write(next, revision));
        reportRetirements(view);
    }

    private SetChange.View view(StoreSet set) {
        long now = loop.clock().nanos();
        members.progress(replica.disk(), replica.complete() ? replica.progress().completeEpoch() : 0L, now);
        Duration limit = set.members().size() == 2 ? SILENT_OF_TWO : SILENT_LONG;
        Set<String> silent = disks(set, each -> !each.equals(replica.disk()) && members.silent(each, now, limit));
        return new SetChange.View(
                self(),
                set,
                disks(set, each -> members.complete(each, set.epoch())),
                silent,
                Set.copyOf(retiring),
                toleratedLosses,
                mostMembers);
    }

    private static Set<String> disks(StoreSet set, Predicate<String> wanted) {
        return set.members().stream().map(StoreMember::disk).filter(wanted).collect(Collectors.toSet());
    }

    /**
     * A quiet set is asked in every other round only: a silent member is then still missed five times in its limit. VMs that
     * stand by ask less often yet: they are many, and each asks every member.
     */
    private void askMembersInTurn(StoreSet set) {
        rounds++;
        boolean quiet = set.members().stream().allMatch(each -> members.complete(each.disk(), set.epoch()));
        boolean standsBy = set.members().size() >= mostMembers
                && set.byDisk(replica.disk()).isEmpty();
        int turn = standsBy ? STANDBY_ROUNDS : set.members().size() <= MemberWatch.ALL_ASK_ALL ? 1 : QUIET_ROUNDS;
        if (!quiet || rounds % turn == 0) {
            askMembers(set);
        }
    }

    private void askMembers(StoreSet set) {
        long now = loop.clock().nanos();
        members.asked(set, replica.disk(), retiring, now).forEach(each -> {
            // One that is complete at this epoch has adopted the set; it need not be told again.
            Optional<StoreSet> told = members.complete(each.disk(), set.epoch()) ? Optional.empty() : newest;
            calls.ask(each.address(), new ReplicaRequest.Tell(told), PATIENCE).whenComplete((reply, failure) -> {
                if (reply instanceof ReplicaReply.Progress progress) {
                    members.progress(
                            progress.disk(),
                            progress.completeEpoch(),
                            loop.clock().nanos());
                    learnNewer(progress.adoptedEpoch());
                }
            });
        });
    }

    private void write(StoreSet next, OptionalLong condition) {
        writing = true;
        objects.put(ObjectKind.STORE_SET, SET_NAME, condition, StoreSetJson.write(next))
                .whenComplete((written, failure) -> loop.execute(() -> {
                    writing = false;
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
                        takeIn(written);
                    } else {
                        refresh();
                    }
                }));
    }

    /** A VM that was away when the set changed is no member any more perhaps, and is told of no set by anybody. */
    private void learnNewer(long epoch) {
        if (newest.filter(known -> known.epoch() < epoch).isPresent() && !refreshing) {
            refresh();
        }
    }

    /** After a refused or unanswered write the object may have changed either way. */
    private void refresh() {
        refreshing = true;
        objects.list(ObjectKind.STORE_SET)
                .whenComplete((list, failure) -> loop.execute(() -> {
                    refreshing = false;
                    if (list != null) {
                        onSetChanged(list.objects());
                    }
                }));
    }

    private void reportRetirements(SetChange.View view) {
        if (!SetChange.leads(view)) {
            return;
        }
        Set<String> names = view.set().members().stream().map(StoreMember::name).collect(Collectors.toSet());
        boolean copied = view.completeMembers().size() == view.set().members().size();
        retiring.stream()
                .filter(vm -> !names.contains(vm) && copied && reported.add(vm))
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
                        reported.remove(vm);
                    }
                }));
    }

    private StoreMember self() {
        return new StoreMember(name, replica.disk(), address);
    }
}
