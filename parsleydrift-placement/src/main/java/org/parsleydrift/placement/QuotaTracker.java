package org.parsleydrift.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.parsleydrift.registry.Team;

/**
 * Enforces the quotas of teams over all nodes without a central coordinator. Each node adds the requests that it has
 * admitted to the usage that its peers have last reported.
 *
 * <p>An incomplete program wastes the capacity that it has used. Requests of programs in progress are therefore
 * admitted up to the limit, while a new program is admitted only if its expected number of requests fits. If demand
 * exceeds the remaining quota, requests are selected at random, so that nodes with outdated reports do not all claim
 * the same capacity.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class QuotaTracker {
    /** Time over which the remaining quota is granted under excess demand, s; several times the reporting delay. */
    private static final double SPREAD_SECONDS = 1.2;
    /** Share of the demand window whose demand at peers is not reported yet. */
    private static final double UNHEARD_SHARE = 0.6;
    /** Share of the expiring requests whose quota is granted in advance. */
    private static final double LEAVING_SHARE = 0.4;
    /** Retry delay at a demand no higher than the quota. */
    private static final Duration COME_BACK = Duration.ofMillis(300);
    /** Upper bound of the retry delay; callers ignore a delay that takes much of their remaining time. */
    private static final Duration COME_BACK_MOST = Duration.ofSeconds(1);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanos;
    private final RandomGenerator random;
    private final QuotaPolicy rule;
    private final BooleanSupplier hearsPeers;
    private final long startNanos;
    private final Map<String, TeamCounts> own = new HashMap<>();
    private final PeerUse peers;
    private final ProgramNeed need = new ProgramNeed();

    /**
     * Creates a tracker without any recorded usage.
     *
     * @param nanos monotonic clock of the loop, ns
     * @param random source of randomness for the selection of requests
     * @param rule window and tolerance of the quotas
     * @param hearsPeers returns true if reports of peers arrive, or if this node is known to be the only one
     */
    public QuotaTracker(LongSupplier nanos, RandomGenerator random, QuotaPolicy rule, BooleanSupplier hearsPeers) {
        this.nanos = nanos;
        this.random = random;
        this.rule = rule;
        this.hearsPeers = hearsPeers;
        this.startNanos = nanos.getAsLong();
        this.peers = new PeerUse(rule.window());
    }

    /**
     * Replaces the usage reported by peers.
     *
     * @param reports latest reports by node or zone; a report with 0 nodes for a reporter that is gone
     */
    public void updatePeers(Map<String, UsageReport> reports) {
        peers.tell(reports, nanos.getAsLong());
    }

    /**
     * Discards the reports of reporters whose usage is contained in the reports of others from now on.
     *
     * @param tellers names of nodes or zones
     */
    public void forgetReporters(Set<String> tellers) {
        peers.movedFrom(tellers);
    }

    /**
     * Returns the usage at this node, to be sent to its peers. Teams without usage are dropped from the counters.
     *
     * @return the usage report of this node alone
     */
    public UsageReport report() {
        Map<String, TeamUsage> uses = own.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().use()));
        uses.values().removeIf(TeamUsage::isNone);
        own.keySet().retainAll(uses.keySet());
        return new UsageReport(1, unseenMillis(), uses);
    }

    /**
     * Returns whether the quota of a team has no room for one more request.
     *
     * @param team the team
     * @return true if the quota is exhausted; false for a team without a quota
     */
    public boolean isExhausted(Team team) {
        return team.quota().isLimited() && free(team, use(team).sent()) < 1;
    }

    /**
     * Returns the delay after which a rejected request may be retried. It grows with the ratio of demand to quota.
     *
     * @param team the team of the request
     * @return the delay without jitter
     */
    public Duration retryAfter(Team team) {
        double over = Math.max(
                1, perSecond(use(team).newDemand()) / Math.max(1, team.quota().ratePerSecond()));
        long millis = (long) (COME_BACK.toMillis() * over);
        return Duration.ofMillis(Math.min(COME_BACK_MOST.toMillis(), millis));
    }

    /**
     * Checks a request against the quota of its team and charges the quota if the request is admitted.
     *
     * @param team the team of the request
     * @param underWay whether the request's program has already used runner time
     * @param ofProgram whether the request belongs to a program, which needs further requests
     * @return the decision
     */
    public QuotaDecision acquire(Team team, boolean underWay, boolean ofProgram) {
        boolean begins = !underWay && ofProgram;
        if (!team.quota().isLimited()) {
            need.let(begins);
            return QuotaDecision.UNLIMITED;
        }
        if (!hearsPeers.getAsBoolean()) {
            return new QuotaDecision.Undetermined();
        }
        TeamCounts counts = own.computeIfAbsent(team.name(), any -> new TeamCounts(nanos, rule.window()));
        int needed = begins ? need.requests() : 1;
        if (underWay) {
            counts.pressed();
        } else {
            counts.asked(needed);
        }
        boolean passes = !isExhausted(team) && (underWay ? maySpend(team) : mayBegin(team));
        if (!passes) {
            return new QuotaDecision.Exceeded(retryAfter(team));
        }
        need.let(begins);
        if (!underWay) {
            counts.planned(needed);
        }
        long now = nanos.getAsLong();
        counts.ran(now, 1);
        return new QuotaDecision.Allowed(Optional.of(new QuotaCharge(counts, now)));
    }

    private boolean maySpend(Team team) {
        TeamUsage use = use(team);
        return drawn(
                free(team, use.sent()),
                use.sent(),
                use.inProgressDemand(),
                others(team).inProgressDemand());
    }

    /** Decides on the first request of a program, or on a request outside any program. */
    private boolean mayBegin(Team team) {
        TeamUsage use = use(team);
        double free = free(team, use.planned());
        return free > 0
                && drawn(free, use.planned(), use.newDemand(), others(team).newDemand());
    }

    /**
     * Selects requests at random if demand exceeds the remaining quota, each with the same probability at every node;
     * all nodes see the same remaining quota and would otherwise claim it at the same time. Demand that peers have not
     * reported yet is estimated from their last reports.
     */
    private boolean drawn(double free, WindowCounts taken, int asking, int askingOthers) {
        double leavingPerSecond = LEAVING_SHARE
                * taken.expiring()
                / (WindowCounts.LEAVING_PART * rule.window().toMillis() / 1000.0);
        double unseen = unseenShare();
        boolean allMayPass =
                QuotaPolicy.wellKnown(unseen) && asking + UNHEARD_SHARE * askingOthers <= free + rule.unheard(unseen);
        return allMayPass || random.nextDouble() * perSecond(asking) < free / SPREAD_SECONDS + leavingPerSecond;
    }

    private static double perSecond(int asking) {
        return asking * 1000.0 / TeamCounts.ASKED_SPAN.toMillis();
    }

    private TeamUsage use(Team team) {
        TeamCounts counts = own.get(team.name());
        return counts == null ? others(team) : others(team).plus(counts.use());
    }

    private TeamUsage others(Team team) {
        return peers.total().of(team.name());
    }

    private double free(Team team, WindowCounts taken) {
        double late = rule.late(team.quota()) - taken.recent();
        double whole = rule.whole(team.quota(), unseenShare()) - taken.total();
        return Math.min(late, whole);
    }

    private double unseenShare() {
        int unseen = peers.total().unobservedMillis() + unseenMillis();
        double spanMillis = (double) rule.window().toMillis() * (peers.total().nodes() + 1);
        return Math.min(1, unseen / spanMillis);
    }

    private int unseenMillis() {
        long seen = (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
        return (int) Math.max(0, rule.window().toMillis() - seen);
    }
}
