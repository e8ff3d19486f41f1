package org.parsleydrift.conversation;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides how the membership of the store set should change. Stateless. Each store VM decides independently and writes
 * its decision conditionally on the revision that it read, so only one of several concurrent changes succeeds.
 */
final class SetChange {
    private SetChange() {}

    /**
     * The state of the store set as seen by one store VM.
     *
     * @param self this VM as a member
     * @param set the current set
     * @param completeMembers disk IDs of the members that are complete at the set's epoch
     * @param silentLong disk IDs of the members that have not answered within the failure timeout
     * @param retiring names of the VMs that are being retired
     * @param toleratedLosses number of disks that may be lost at once
     * @param mostMembers maximum size of the set; further VMs are standbys
     */
    record View(
            StoreMember self,
            StoreSet set,
            Set<String> completeMembers,
            Set<String> silentLong,
            Set<String> retiring,
            int toleratedLosses,
            int mostMembers) {
        /** The smallest size at which a majority remains after the tolerated number of losses. */
        private int wanted() {
            return 2 * toleratedLosses + 1;
        }
    }

    /** Returns the set that this VM should write now, or empty if no change is due. */
    static Optional<StoreSet> decide(View view) {
        // The next epoch's members synchronize from a read quorum of complete members; else they never complete.
        boolean canBeTakenOver =
                view.completeMembers().size() >= Math.max(1, view.set().readQuorum());
        if (!canBeTakenOver) {
            return Optional.empty();
        }
        boolean member = view.set().byDisk(view.self().disk()).isPresent();
        return member ? maintain(view) : join(view);
    }

    /**
     * Adds this VM: in place of its own former disk, in place of an unresponsive or retiring member, or as a further member
     * if the set is below its maximum size.
     */
    private static Optional<StoreSet> join(View view) {
        StoreMember self = view.self();
        if (view.retiring().contains(self.name())) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        Optional<StoreMember> replaced = replaced(view);
        if (replaced.isEmpty() && members.size() >= view.mostMembers()) {
            return Optional.empty();
        }
        List<StoreMember> next = Stream.concat(
                        members.stream().filter(each -> !replaced.equals(Optional.of(each))), Stream.of(self))
                .sorted(Comparator.comparing(StoreMember::name))
                .toList();
        return Optional.of(view.set().change(next));
    }

    private static Optional<StoreMember> replaced(View view) {
        List<StoreMember> members = view.set().members();
        Optional<StoreMember> former = members.stream()
                .filter(each -> each.name().equals(view.self().name()))
                .findAny();
        if (former.isPresent() || members.size() < view.wanted()) {
            return former;
        }
        Optional<StoreMember> silent = members.stream()
                .filter(each -> view.silentLong().contains(each.disk()))
                .findFirst();
        return silent.or(() -> members.stream()
                .filter(each ->
                        members.size() >= view.mostMembers() && view.retiring().contains(each.name()))
                .findFirst());
    }

    /**
     * Removes one retiring or unresponsive member. An unresponsive member is removed only if the set is larger than its
     * target size or has an even number of members, which tolerates no more losses than one member fewer. At an odd size
     * up to the target size it stays, since the remaining members still form a quorum.
     */
    private static Optional<StoreSet> maintain(View view) {
        if (!leads(view)) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        // A member may leave only if the remaining copies outnumber the tolerated losses.
        boolean enoughOthers = members.size() - 1 > view.toleratedLosses();
        boolean silentLeave = members.size() % 2 == 0 || members.size() > view.wanted();
        Optional<StoreMember> leaves = members.stream()
                .filter(each -> enoughOthers && view.retiring().contains(each.name()))
                .findFirst()
                .or(() -> members.stream()
                        .filter(each -> silentLeave && view.silentLong().contains(each.disk()))
                        .findFirst());
        return leaves.filter(any -> members.size() > 1)
                .map(left -> view.set()
                        .change(members.stream()
                                .filter(each -> !each.equals(left))
                                .toList()));
    }

    /**
     * Whether this VM coordinates changes, which it does as the first complete member that is neither retiring nor
     * unresponsive. A single coordinator avoids conflicting conditional writes.
     */
    static boolean leads(View view) {
        return view.set().members().stream()
                .filter(each -> view.completeMembers().contains(each.disk())
                        && !view.silentLong().contains(each.disk())
                        && !view.retiring().contains(each.name()))
                .map(StoreMember::disk)
                .findFirst()
                .filter(view.self().disk()::equals)
                .isPresent();
    }
}
