package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Failure detector for the members of the store set: selects the members that this VM polls and tracks their replies. In a
 * large set, polling between all pairs is too expensive. The first eligible member, the coordinator, polls all members;
 * each other member polls the members before it up to the coordinator, to detect the coordinator's failure.
 */
final class MemberWatch {
    /** Largest set in which each member polls all others. */
    static final int ALL_ASK_ALL = 4;

    /** Number of members that watch the shared object. */
    private static final int WATCHING = 2;

    private final Map<String, Asked> asked = new HashMap<>();

    /** Start of the uninterrupted polling of a member, time of its last reply, and the complete epoch in that reply. */
    private record Asked(long sinceNanos, long answeredNanos, long completeEpoch) {}

    /** Discards the reported epochs, which refer to the previous set. */
    void setChanged() {
        asked.replaceAll((disk, known) -> new Asked(known.sinceNanos(), known.answeredNanos(), 0));
    }

    void progress(String disk, long completeEpoch, long now) {
        asked.merge(
                disk,
                new Asked(now, now, completeEpoch),
                (known, fresh) -> new Asked(known.sinceNanos(), now, completeEpoch));
    }

    /** Whether a member reported that it is complete at an epoch. */
    boolean complete(String disk, long epoch) {
        Asked known = asked.get(disk);
        return known != null && known.completeEpoch() >= epoch;
    }

    /**
     * Whether a polled member has not replied within a time limit.
     *
     * @param disk the member's disk ID
     * @param now the current time in ns
     * @param limit the time limit
     * @return whether the limit has passed without a reply; false for a member that is not polled
     */
    boolean silent(String disk, long now, Duration limit) {
        Asked known = asked.get(disk);
        return known != null && now - Math.max(known.sinceNanos(), known.answeredNanos()) > limit.toNanos();
    }

    /**
     * Selects the members to poll in this round.
     *
     * @param set the current set
     * @param self this VM's disk ID
     * @param retiring names of the VMs that are being retired; these are not eligible as coordinator
     * @param now the current time in ns
     * @return the members to poll
     */
    List<StoreMember> asked(StoreSet set, String self, Set<String> retiring, long now) {
        List<StoreMember> chosen = choose(set, self, retiring, now);
        List<String> disks = chosen.stream().map(StoreMember::disk).toList();
        // Forget members that are no longer polled, so that the time without polling does not count as unresponsive.
        asked.keySet().removeIf(disk -> !disk.equals(self) && !disks.contains(disk));
        disks.forEach(disk -> asked.putIfAbsent(disk, new Asked(now, now, 0)));
        return chosen;
    }

    private List<StoreMember> choose(StoreSet set, String self, Set<String> retiring, long now) {
        List<StoreMember> others =
                set.members().stream().filter(each -> !each.disk().equals(self)).toList();
        int place = set.members().stream().map(StoreMember::disk).toList().indexOf(self);
        if (place < 0 || set.members().size() <= ALL_ASK_ALL) {
            return others;
        }
        List<StoreMember> before = others.subList(0, place);
        int acting = 0;
        while (acting < before.size() && !acts(set, before.get(acting), retiring, now)) {
            acting++;
        }
        return acting == before.size() ? others : before.subList(0, acting + 1);
    }

    /**
     * Whether this VM should watch the shared object that holds the set: as the coordinator, as its successor, which is then
     * up to date on failover, or as a VM outside the set. Members that are not polled count as eligible.
     */
    boolean watches(StoreSet set, String self, Set<String> retiring, long now) {
        long before = set.members().stream()
                .takeWhile(each -> !each.disk().equals(self))
                .filter(each -> !asked.containsKey(each.disk()) || acts(set, each, retiring, now))
                .count();
        return before < WATCHING || set.byDisk(self).isEmpty();
    }

    private boolean acts(StoreSet set, StoreMember member, Set<String> retiring, long now) {
        return complete(member.disk(), set.epoch())
                && !retiring.contains(member.name())
                && !silent(member.disk(), now, StoreSetController.SILENT_LONG);
    }
}
