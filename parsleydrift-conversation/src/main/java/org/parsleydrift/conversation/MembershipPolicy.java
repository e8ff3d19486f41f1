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
final class MembershipPolicy {
    private MembershipPolicy() {}

    /**
     * The state of the store set as seen by one store VM.
     *
     * @param self this VM as a member
     * @param set the current set
     * @param completeDisks disk IDs of the members that are complete at the set's epoch
     * @param unresponsiveDisks disk IDs of the members that have not answered within the failure timeout
     * @param retiringVms names of the VMs that are being retired
     * @param toleratedLosses number of disks that may be lost at once
     * @param maxMembers maximum size of the set; further VMs are standbys
     */
    record View(
            StoreMember self,
            StoreSet set,
            Set<String> completeDisks,
            Set<String> unresponsiveDisks,
            Set<String> retiringVms,
            int toleratedLosses,
            int maxMembers) {
        /** The smallest size at which a majority remains after the tolerated number of losses. */
        private int targetSize() {
            return 2 * toleratedLosses + 1;
        }
    }

    /** Returns the set that this VM should write now, or empty if no change is due. */
    static Optional<StoreSet> nextSet(View view) {
        // The next epoch's members synchronize from a read quorum of complete members; else they never complete.
        boolean hasSyncSource =
                view.completeDisks().size() >= Math.max(1, view.set().readQuorum());
        if (!hasSyncSource) {
            return Optional.empty();
        }
        boolean isMember = view.set().memberByDiskId(view.self().diskId()).isPresent();
        return isMember ? removeMember(view) : addSelf(view);
    }

    /**
     * Adds this VM: in place of its own former disk, in place of an unresponsive or retiring member, or as a further member
     * if the set is below its maximum size.
     */
    private static Optional<StoreSet> addSelf(View view) {
        StoreMember self = view.self();
        if (view.retiringVms().contains(self.name())) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        Optional<StoreMember> replaced = memberToReplace(view);
        if (replaced.isEmpty() && members.size() >= view.maxMembers()) {
            return Optional.empty();
        }
        List<StoreMember> next = Stream.concat(
                        members.stream().filter(each -> !replaced.equals(Optional.of(each))), Stream.of(self))
                .sorted(Comparator.comparing(StoreMember::name))
                .toList();
        return Optional.of(view.set().withMembers(next));
    }

    private static Optional<StoreMember> memberToReplace(View view) {
        List<StoreMember> members = view.set().members();
        Optional<StoreMember> former = members.stream()
                .filter(each -> each.name().equals(view.self().name()))
                .findAny();
        if (former.isPresent() || members.size() < view.targetSize()) {
            return former;
        }
        Optional<StoreMember> unresponsive = members.stream()
                .filter(each -> view.unresponsiveDisks().contains(each.diskId()))
                .findFirst();
        return unresponsive.or(() -> members.stream()
                .filter(each -> members.size() >= view.maxMembers()
                        && view.retiringVms().contains(each.name()))
                .findFirst());
    }

    /**
     * Removes one retiring or unresponsive member. An unresponsive member is removed only if the set is larger than its
     * target size or has an even number of members, which tolerates no more losses than one member fewer. At an odd size
     * up to the target size it stays, since the remaining members still form a quorum.
     */
    private static Optional<StoreSet> removeMember(View view) {
        if (!isCoordinator(view)) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        // A member may leave only if the remaining copies outnumber the tolerated losses.
        boolean hasEnoughCopies = members.size() - 1 > view.toleratedLosses();
        boolean mayRemoveUnresponsive = members.size() % 2 == 0 || members.size() > view.targetSize();
        Optional<StoreMember> leaving = members.stream()
                .filter(each -> hasEnoughCopies && view.retiringVms().contains(each.name()))
                .findFirst()
                .or(() -> members.stream()
                        .filter(each -> mayRemoveUnresponsive
                                && view.unresponsiveDisks().contains(each.diskId()))
                        .findFirst());
        return leaving.filter(ignored -> members.size() > 1)
                .map(removed -> view.set()
                        .withMembers(members.stream()
                                .filter(each -> !each.equals(removed))
                                .toList()));
    }

    /**
     * Whether this VM coordinates changes, which it does as the first complete member that is neither retiring nor
     * unresponsive. A single coordinator avoids conflicting conditional writes.
     */
    static boolean isCoordinator(View view) {
        return view.set().members().stream()
                .filter(each -> view.completeDisks().contains(each.diskId())
                        && !view.unresponsiveDisks().contains(each.diskId())
                        && !view.retiringVms().contains(each.name()))
                .map(StoreMember::diskId)
                .findFirst()
                .filter(view.self().diskId()::equals)
                .isPresent();
    }
}
