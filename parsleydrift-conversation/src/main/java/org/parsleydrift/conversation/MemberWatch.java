package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which members of a store set a store VM asks how far they are, and what they said. In a large set each asking each costs
 * more processor time than all turns: twelve members at rest sent 1,760 frames a second. So the first member that is
 * complete asks all, and the others ask the members before themselves up to the first that answers, to notice its end.
 */
final class MemberWatch {
    /** Up to so many members each asks each: there it costs a few frames, and each knows of a loss by itself. */
    static final int ALL_ASK_ALL = 4;

    /** Members that watch the platform for all. */
    private static final int WATCHING = 2;

    private final Map<String, Asked> asked = new HashMap<>();

    /** Since when a member is asked in each round without a pause, when it answered last, and what it said. */
    private record Asked(long sinceNanos, long answeredNanos, long completeEpoch) {}

    /** What was said of an earlier set says nothing of the new one. */
    void setChanged() {
        asked.replaceAll((disk, known) -> new Asked(known.sinceNanos(), known.answeredNanos(), 0));
    }

    /** A member said how far it is. */
    void progress(String disk, long completeEpoch, long now) {
        asked.merge(
                disk,
                new Asked(now, now, completeEpoch),
                (known, fresh) -> new Asked(known.sinceNanos(), now, completeEpoch));
    }

    /** Whether a member said that it holds all that counts at an epoch. */
    boolean complete(String disk, long epoch) {
        Asked known = asked.get(disk);
        return known != null && known.completeEpoch() >= epoch;
    }

    /**
     * Whether a member that is asked has not answered for a time.
     *
     * @param disk the member's disk
     * @param now the time
     * @param limit how long
     * @return whether it is silent; a member that is not asked is not silent
     */
    boolean silent(String disk, long now, Duration limit) {
        Asked known = asked.get(disk);
        return known != null && now - Math.max(known.sinceNanos(), known.answeredNanos()) > limit.toNanos();
    }

    /**
     * Chooses whom to ask in this round.
     *
     * @param set the set in force
     * @param self this VM's disk
     * @param retiring names of VMs that are to be emptied, which don't act for the set
     * @param now the time
     * @return the members to ask
     */
    List<StoreMember> asked(StoreSet set, String self, Set<String> retiring, long now) {
        List<StoreMember> chosen = choose(set, self, retiring, now);
        List<String> disks = chosen.stream().map(StoreMember::disk).toList();
        // One that was not asked for a while has not been silent all the while.
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
     * Whether this VM should watch the platform for the set: as the one that acts for it, as the next one, which then has
     * what it needs when the first is gone, or as one that is no member yet. A member that is not asked, since one before it
     * answers, is taken for one that would act.
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
