package org.parsleydrift.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleydrift.registry.RunnerKey;

/**
 * Chooses the node that decides on the requests of a team by rendezvous hashing, so that nodes that know the same live
 * nodes agree without an election, and tells how far this node may decide itself. Not thread-safe.
 */
public final class QuotaCoordinators {
    /** Number of nodes that are asked in turn: the coordinator, and those that follow if it does not answer. */
    static final int CANDIDATES = 3;

    /**
     * Time after which the admissions of a former coordinator have been reported, and all nodes know the present one;
     * several times the reporting delay.
     */
    public static final Duration HANDOVER = Duration.ofSeconds(1);

    private final String self;
    private Set<String> live = Set.of();
    private final Deque<FormerView> formerViews = new ArrayDeque<>();
    private final Map<String, List<String>> candidates = new HashMap<>();
    private final Map<String, Decisions> decisions = new HashMap<>();

    /** Live nodes that this node knew until a time, ns. */
    private record FormerView(Set<String> live, long untilNanos) {}

    /** An uninterrupted series of decisions for a team, ns. */
    private record Decisions(long firstNanos, long lastNanos) {}

    private record Scored(String node, long hash) {}

    /**
     * Creates the choice of a node that knows no live node.
     *
     * @param self name of this node
     */
    public QuotaCoordinators(String self) {
        this.self = self;
    }

    /**
     * Updates the live nodes.
     *
     * @param nodes names of the live, ready nodes
     * @param nowNanos monotonic time, ns
     */
    public void update(Set<String> nodes, long nowNanos) {
        formerViews.removeIf(each -> nowNanos - each.untilNanos >= HANDOVER.toNanos());
        decisions.values().removeIf(each -> nowNanos - each.lastNanos > HANDOVER.toNanos());
        if (!nodes.equals(live)) {
            formerViews.add(new FormerView(live, nowNanos));
            live = Set.copyOf(nodes);
            candidates.clear();
        }
    }

    /**
     * Returns the nodes to ask for a team, the coordinator first.
     *
     * @param team name of the team
     * @return names of nodes; empty if no live node is known
     */
    public List<String> candidates(String team) {
        return candidates.computeIfAbsent(team, any -> rank(live, team));
    }

    /**
     * Records that this node decides for a team.
     *
     * @param team name of the team
     * @param precedingDeclined whether all candidates before this node have declined, so that it is the coordinator
     * @param nowNanos monotonic time, ns
     * @return how far it may decide
     */
    public QuotaAuthority decide(String team, boolean precedingDeclined, long nowNanos) {
        Decisions series = decisions.merge(
                team,
                new Decisions(nowNanos, nowNanos),
                (former, present) -> nowNanos - former.lastNanos > HANDOVER.toNanos()
                        ? present
                        : new Decisions(former.firstNanos, nowNanos));
        boolean hasDecided = nowNanos - series.firstNanos >= HANDOVER.toNanos();
        boolean isFirst = isFirst(candidates(team));
        boolean isSettled = ((isFirst || precedingDeclined) && hasDecided) || (isFirst && hasBeenCoordinator(team));
        return isSettled ? QuotaAuthority.SETTLED : QuotaAuthority.PROVISIONAL;
    }

    private boolean hasBeenCoordinator(String team) {
        return formerViews.stream().allMatch(each -> isFirst(rank(each.live, team)));
    }

    private boolean isFirst(List<String> ranked) {
        return !ranked.isEmpty() && ranked.getFirst().equals(self);
    }

    private static List<String> rank(Set<String> nodes, String team) {
        return nodes.stream()
                .map(each -> new Scored(each, RunnerKey.of(each + "/" + team)))
                .sorted(Comparator.comparingLong(Scored::hash)
                        .thenComparing(Scored::node)
                        .reversed())
                .limit(CANDIDATES)
                .map(Scored::node)
                .toList();
    }
}
