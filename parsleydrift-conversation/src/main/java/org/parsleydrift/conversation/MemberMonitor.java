package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Failure detector for the members of the store set: selects the members that this VM polls and tracks their replies.
 * In a large set, polling between all pairs is too expensive. Twelve idle members would send 1,760 frames per second.
 * The first eligible member, the coordinator, polls all members; each other member polls the members before it up to
 * the coordinator, to detect the coordinator's failure.
 */
final class MemberMonitor {
    /** Largest set in which each member polls all others. */
    static final int MAX_FULL_POLL_SIZE = 4;

    /** Number of members that watch the shared object that holds the set. */
    private static final int WATCHER_COUNT = 2;

    /** Time between rounds from which on this VM counts as paused: it has polled nobody and read no replies. */
    private static final Duration MAX_ROUND_GAP = Duration.ofMillis(500);

    private final Map<String, MemberStatus> statuses = new HashMap<>();
    private OptionalLong lastRoundNanos = OptionalLong.empty();

    /** Start of the uninterrupted polling of a member, time of its last reply, and the complete epoch in that reply. */
    private record MemberStatus(long polledSinceNanos, long lastReplyNanos, long completeEpoch) {}

    /**
     * Records the start of a round. After a pause of this VM the silence of its members counts anew, as it was its own.
     *
     * @param nowNanos the current time in ns
     */
    void beginRound(long nowNanos) {
        boolean paused = lastRoundNanos.isPresent() && nowNanos - lastRoundNanos.getAsLong() > MAX_ROUND_GAP.toNanos();
        if (paused) {
            statuses.replaceAll(
                    (diskId, status) -> new MemberStatus(nowNanos, status.lastReplyNanos(), status.completeEpoch()));
        }
        lastRoundNanos = OptionalLong.of(nowNanos);
    }

    /** Discards the reported epochs, which refer to the previous set. */
    void clearCompleteEpochs() {
        statuses.replaceAll(
                (diskId, status) -> new MemberStatus(status.polledSinceNanos(), status.lastReplyNanos(), 0));
    }

    void recordProgress(String diskId, long completeEpoch, long nowNanos) {
        statuses.merge(
                diskId,
                new MemberStatus(nowNanos, nowNanos, completeEpoch),
                (status, update) -> new MemberStatus(status.polledSinceNanos(), nowNanos, completeEpoch));
    }

    /** Whether a member reported that it is complete at an epoch. */
    boolean isComplete(String diskId, long epoch) {
        MemberStatus status = statuses.get(diskId);
        return status != null && status.completeEpoch() >= epoch;
    }

    /**
     * Whether a polled member has not replied within a time limit.
     *
     * @param diskId the member's disk ID
     * @param nowNanos the current time in ns
     * @param timeout the time limit
     * @return whether the limit has passed without a reply; false for a member that is not polled
     */
    boolean isUnresponsive(String diskId, long nowNanos, Duration timeout) {
        MemberStatus status = statuses.get(diskId);
        return status != null
                && nowNanos - Math.max(status.polledSinceNanos(), status.lastReplyNanos()) > timeout.toNanos();
    }

    /**
     * Selects the members to poll in this round.
     *
     * @param set the current set
     * @param ownDiskId this VM's disk ID
     * @param retiringVms names of the VMs that are being retired; these are not eligible as coordinator
     * @param nowNanos the current time in ns
     * @return the members to poll
     */
    List<StoreMember> selectPollTargets(StoreSet set, String ownDiskId, Set<String> retiringVms, long nowNanos) {
        List<StoreMember> targets = pollTargets(set, ownDiskId, retiringVms, nowNanos);
        List<String> diskIds = targets.stream().map(StoreMember::diskId).toList();
        // Forget members that are no longer polled, so that the time without polling does not count as unresponsive.
        statuses.keySet().removeIf(diskId -> !diskId.equals(ownDiskId) && !diskIds.contains(diskId));
        diskIds.forEach(diskId -> statuses.putIfAbsent(diskId, new MemberStatus(nowNanos, nowNanos, 0)));
        return targets;
    }

    private List<StoreMember> pollTargets(StoreSet set, String ownDiskId, Set<String> retiringVms, long nowNanos) {
        List<StoreMember> others = set.members().stream()
                .filter(each -> !each.diskId().equals(ownDiskId))
                .toList();
        int ownIndex = set.members().stream().map(StoreMember::diskId).toList().indexOf(ownDiskId);
        if (ownIndex < 0 || set.members().size() <= MAX_FULL_POLL_SIZE) {
            return others;
        }
        List<StoreMember> preceding = others.subList(0, ownIndex);
        int coordinatorIndex = 0;
        while (coordinatorIndex < preceding.size()
                && !isEligible(set, preceding.get(coordinatorIndex), retiringVms, nowNanos)) {
            coordinatorIndex++;
        }
        return coordinatorIndex == preceding.size() ? others : preceding.subList(0, coordinatorIndex + 1);
    }

    /**
     * Whether this VM should watch the shared object that holds the set: as the coordinator, as its successor, which is then
     * up to date on failover, or as a VM outside the set. Members that are not polled count as eligible.
     */
    boolean isWatcher(StoreSet set, String ownDiskId, Set<String> retiringVms, long nowNanos) {
        long precedingEligible = set.members().stream()
                .takeWhile(each -> !each.diskId().equals(ownDiskId))
                .filter(each -> !statuses.containsKey(each.diskId()) || isEligible(set, each, retiringVms, nowNanos))
                .count();
        return precedingEligible < WATCHER_COUNT
                || set.memberByDiskId(ownDiskId).isEmpty();
    }

    private boolean isEligible(StoreSet set, StoreMember member, Set<String> retiringVms, long nowNanos) {
        return isComplete(member.diskId(), set.epoch())
                && !retiringVms.contains(member.name())
                && !isUnresponsive(member.diskId(), nowNanos, StoreSetController.FAILURE_TIMEOUT);
    }
}
