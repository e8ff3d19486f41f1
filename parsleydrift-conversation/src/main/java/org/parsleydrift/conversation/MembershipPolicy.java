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
     * @param goneDisks disk IDs of the members that have not answered for much longer
     * @param retiringVms names of the VMs that are being retired
     * @param toleratedLosses number of disks that may be lost at once
     * @param maxMembers maximum size of the set; further VMs are standbys
     */
    record View(
            StoreMember self,
            StoreSet set,
            Set<String> completeDisks,
            Set<String> unresponsiveDisks,
            Set<String> goneDisks,
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
        if (view.set().members().isEmpty()) {
            // An operator has given up the former members, all of whose disks are lost.
            return Optional.of(view.set().withMembers(List.of(view.self())));
        }
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
        return former.or(() -> members.stream()
                        .filter(each -> view.unresponsiveDisks().contains(each.diskId()))
                        .findFirst())
                .or(() -> members.stream()
                        .filter(each -> members.size() >= view.maxMembers()
                                && view.retiringVms().contains(each.name()))
                        .findFirst());
    }

    /**
     * Removes one retiring or unresponsive member if enough copies remain. An unresponsive member is removed only if the set
     * is larger than its target size or has an even number of members, which tolerates no more losses than one member
     * fewer. At an odd size up to the target size it stays until it counts as gone, since the remaining members still form a
     * quorum; a member that is gone for good would count as a further loss when one of them loses its disk.
     */
    private static Optional<StoreSet> removeMember(View view) {
        if (!isCoordinator(view)) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        if (!canSpareMember(view)) {
            return Optional.empty();
        }
        boolean mayRemoveUnresponsive = members.size() % 2 == 0 || members.size() > view.targetSize();
        Optional<StoreMember> leaving = members.stream()
                .filter(each -> view.retiringVms().contains(each.name()))
                .findFirst()
                .or(() -> members.stream()
                        .filter(each -> view.goneDisks().contains(each.diskId())
                                || (mayRemoveUnresponsive
                                        && view.unresponsiveDisks().contains(each.diskId())))
                        .findFirst());
        return leaving.map(removed -> view.set()
                .withMembers(
                        members.stream().filter(each -> !each.equals(removed)).toList()));
    }

    /** Whether the copies on the disks of the other members would outnumber the tolerated losses. */
    private static boolean canSpareMember(View view) {
        return view.set().members().size() - 1 > Math.max(0, view.toleratedLosses());
    }

    /** Returns the unresponsive members that stay, although without them there is no quorum, as too few copies would remain. */
    static List<StoreMember> membersWaitedFor(View view) {
        List<StoreMember> unresponsive = view.set().members().stream()
                .filter(each -> view.unresponsiveDisks().contains(each.diskId()))
                .toList();
        boolean hasQuorum =
                view.set().members().size() - unresponsive.size() >= view.set().writeQuorum();
        return hasQuorum || canSpareMember(view) ? List.of() : unresponsive;
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
