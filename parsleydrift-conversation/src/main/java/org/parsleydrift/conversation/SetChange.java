package org.parsleydrift.conversation;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides how the set of store VMs should change. Pure; every store VM decides by itself and writes under a condition,
 * so two that decide at once never both succeed.
 */
final class SetChange {
    private SetChange() {}

    /**
     * What a store VM knows.
     *
     * @param self this VM as a member
     * @param set the set in force
     * @param completeMembers ids of disks that are complete at the set's epoch
     * @param silentLong ids of disks of members that have not answered for long
     * @param retiring names of VMs that are to be emptied
     * @param toleratedLosses disks that may be lost at once
     * @param mostMembers members beyond which a VM stands by
     */
    record View(
            StoreMember self,
            StoreSet set,
            Set<String> completeMembers,
            Set<String> silentLong,
            Set<String> retiring,
            int toleratedLosses,
            int mostMembers) {
        /** Members wanted at least: a majority of them is left when as many disks as may be are lost at once. */
        private int wanted() {
            return 2 * toleratedLosses + 1;
        }
    }

    /** The set that this VM should write now, if any. */
    static Optional<StoreSet> decide(View view) {
        // The next set takes over from as many complete members of this one; with fewer it could never become complete.
        boolean canBeTakenOver =
                view.completeMembers().size() >= Math.max(1, view.set().readQuorum());
        if (!canBeTakenOver) {
            return Optional.empty();
        }
        boolean member = view.set().byDisk(view.self().disk()).isPresent();
        return member ? maintain(view) : join(view);
    }

    /** A VM comes in anew, in the place of a member that is gone or is to go, or where members are wanted. */
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
     * Members leave that are to be emptied, or that are silent for long where that helps: of more than are wanted, or of an
     * even number, which bears no more losses than one member less does; of two neither can write without the other. Of
     * three or another odd number up to those wanted a silent one stays, since the rest go on without it.
     */
    private static Optional<StoreSet> maintain(View view) {
        if (!leads(view)) {
            return Optional.empty();
        }
        List<StoreMember> members = view.set().members();
        // Its records must lie on more disks than may be lost before it may go.
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
     * One member acts, so that conditional writes rarely meet: the first complete one that neither leaves nor is silent. If
     * a silent one counted, a set whose first member is gone would never change, and no retirement would be reported.
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
