package org.parsleydrift.placement;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;
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
    private static final Logger LOG = System.getLogger(QuotaTracker.class.getName());
    /** Time over which the remaining quota is granted under excess demand, s; several times the reporting delay. */
    private static final double GRANT_SPREAD_SECONDS = 1.2;
    /** Share of the demand window whose demand at peers is not reported yet. */
    private static final double UNREPORTED_DEMAND_SHARE = 0.6;
    /** Share of the expiring requests whose quota is granted in advance. */
    private static final double EXPIRING_GRANT_SHARE = 0.4;
    /** Retry delay at a demand no higher than the quota. */
    private static final Duration BASE_RETRY_DELAY = Duration.ofMillis(300);
    /** Upper bound of the retry delay; callers ignore a delay that takes much of their remaining time. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanos;
    private final RandomGenerator random;
    private final QuotaPolicy policy;
    private final BooleanSupplier peerUsageKnown;
    private final long startNanos;
    private final Map<String, TeamCounters> ownCounters = new HashMap<>();
    private final PeerUsage peers;
    private long updateNanos;
    private final ProgramSizeEstimate programSize = new ProgramSizeEstimate();

    /**
     * Creates a tracker without any recorded usage.
     *
     * @param nanos monotonic clock of the loop, ns
     * @param random source of randomness for the selection of requests
     * @param policy window and tolerance of the quotas
     * @param peerUsageKnown returns true if reports of peers arrive, or if this node is known to be the only one
     */
    public QuotaTracker(
            LongSupplier nanos, RandomGenerator random, QuotaPolicy policy, BooleanSupplier peerUsageKnown) {
        this.nanos = nanos;
        this.random = random;
        this.policy = policy;
        this.peerUsageKnown = peerUsageKnown;
        this.startNanos = nanos.getAsLong();
        this.updateNanos = startNanos;
        this.peers = new PeerUsage(policy.window());
    }

    /**
     * Updates the usage reported by peers.
     *
     * @param reports latest reports by node or zone; a report with 0 nodes for a reporter that is gone
     */
    public void updatePeers(Map<String, UsageReport> reports) {
        updateNanos = nanos.getAsLong();
        peers.update(reports, updateNanos);
    }

    /**
     * Discards the reports of reporters whose usage is contained in the reports of others from now on.
     *
     * @param reporters names of nodes or zones
     */
    public void forgetReporters(Set<String> reporters) {
        peers.forget(reporters);
    }

    /**
     * Returns the usage at this node, to be sent to its peers. Teams without usage are dropped from the counters.
     *
     * @return the usage report of this node alone
     */
    public UsageReport report() {
        Map<String, TeamUsage> usages = ownCounters.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().usage()));
        usages.values().removeIf(TeamUsage::isNone);
        ownCounters.keySet().retainAll(usages.keySet());
        return new UsageReport(1, unobservedMillis(), usages);
    }

    /**
     * Returns whether the quota of a team has no room for one more request.
     *
     * @param team the team
     * @return true if the quota is exhausted; false for a team without a quota
     */
    public boolean isExhausted(Team team) {
        return team.quota().isLimited() && remaining(team, usage(team).sent()) < 1;
    }

    /**
     * Returns the delay after which a rejected request may be retried. It grows with the ratio of demand to quota.
     *
     * @param team the team of the request
     * @return the delay without jitter
     */
    public Duration retryAfter(Team team) {
        double demandRatio = Math.max(
                1, perSecond(usage(team).newDemand()) / Math.max(1, team.quota().ratePerSecond()));
        long millis = (long) (BASE_RETRY_DELAY.toMillis() * demandRatio);
        return Duration.ofMillis(Math.min(MAX_RETRY_DELAY.toMillis(), millis));
    }

    /**
     * Checks a request against the quota of its team and charges the quota if the request is admitted.
     *
     * @param team the team of the request
     * @param inProgress whether the request's program has already used runner time
     * @param inProgram whether the request belongs to a program, which needs further requests
     * @return the decision
     */
    public QuotaDecision acquire(Team team, boolean inProgress, boolean inProgram) {
        boolean startsProgram = !inProgress && inProgram;
        if (!team.quota().isLimited()) {
            programSize.recordRequest(startsProgram);
            return QuotaDecision.UNLIMITED;
        }
        if (!peerUsageKnown.getAsBoolean()) {
            return new QuotaDecision.Undetermined();
        }
        TeamCounters counters =
                ownCounters.computeIfAbsent(team.name(), any -> new TeamCounters(nanos, policy.window()));
        int expectedRequests = startsProgram ? programSize.requestsPerProgram() : 1;
        if (inProgress) {
            counters.addInProgressDemand();
        } else {
            counters.addNewDemand(expectedRequests);
        }
        boolean admitted = !isExhausted(team) && (inProgress ? canContinue(team) : canStart(team));
        if (!admitted) {
            LOG.log(Logger.Level.INFO, () -> describe("quota_exceeded", team).toString());
            return new QuotaDecision.Exceeded(retryAfter(team));
        }
        programSize.recordRequest(startsProgram);
        if (!inProgress) {
            counters.addPlanned(expectedRequests);
        }
        long now = nanos.getAsLong();
        counters.addSent(now, 1);
        if (remaining(team, usage(team).sent()) < 0) {
            LOG.log(Logger.Level.INFO, () -> describe("quota_overdrawn", team).toString());
        }
        return new QuotaDecision.Allowed(Optional.of(new QuotaCharge(counters, now)));
    }

    private boolean canContinue(Team team) {
        TeamUsage usage = usage(team);
        return isSelected(
                remaining(team, usage.sent()),
                usage.sent(),
                usage.inProgressDemand(),
                peerUsage(team).inProgressDemand());
    }

    /** Decides on the first request of a program, or on a request outside any program. */
    private boolean canStart(Team team) {
        TeamUsage usage = usage(team);
        double remaining = remaining(team, usage.planned());
        return remaining > 0
                && isSelected(
                        remaining,
                        usage.planned(),
                        usage.newDemand(),
                        peerUsage(team).newDemand());
    }

    /**
     * Selects requests at random if demand exceeds the remaining quota, each with the same probability at every node;
     * all nodes see the same remaining quota and would otherwise claim it at the same time. Demand that peers have not
     * reported yet is estimated from their last reports.
     */
    private boolean isSelected(double remaining, WindowCounts used, int demand, int peerDemand) {
        double expiringPerSecond = EXPIRING_GRANT_SHARE
                * used.expiring()
                / (WindowCounts.EXPIRING_FRACTION * policy.window().toMillis() / 1000.0);
        double unobserved = unobservedShare();
        boolean demandFits = QuotaPolicy.isWellObserved(unobserved)
                && demand + UNREPORTED_DEMAND_SHARE * peerDemand <= remaining + policy.unreportedAllowance(unobserved);
        return demandFits
                || random.nextDouble() * perSecond(demand) < remaining / GRANT_SPREAD_SECONDS + expiringPerSecond;
    }

    /** Returns a log line with all that a decision depends on. */
    private LogLine describe(String event, Team team) {
        TeamUsage all = usage(team);
        TeamUsage reported = peerUsage(team);
        return LogLine.of(event)
                .with("team", team.name())
                .with("sent", all.sent().total())
                .with("sent_by_peers", reported.sent().total())
                .with("planned", all.planned().total())
                .with("limit", (long) policy.windowLimit(team.quota(), unobservedShare()))
                .with("demand", all.newDemand() + all.inProgressDemand())
                .with("peers", peers.total().nodes())
                .with("peers_age_ms", (nanos.getAsLong() - updateNanos) / NANOS_PER_MILLI)
                .with("unobserved_ms", unobservedMillis());
    }

    private static double perSecond(int requests) {
        return requests * 1000.0 / TeamCounters.DEMAND_WINDOW.toMillis();
    }

    private TeamUsage usage(Team team) {
        TeamCounters counters = ownCounters.get(team.name());
        return counters == null ? peerUsage(team) : peerUsage(team).plus(counters.usage());
    }

    private TeamUsage peerUsage(Team team) {
        return peers.total().teamUsage(team.name());
    }

    private double remaining(Team team, WindowCounts used) {
        double recent = policy.recentLimit(team.quota()) - used.recent();
        double total = policy.windowLimit(team.quota(), unobservedShare()) - used.total();
        return Math.min(recent, total);
    }

    private double unobservedShare() {
        int unobserved = peers.total().unobservedMillis() + unobservedMillis();
        double spanMillis = (double) policy.window().toMillis() * (peers.total().nodes() + 1);
        return Math.min(1, unobserved / spanMillis);
    }

    private int unobservedMillis() {
        long observedMillis = (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
        return (int) Math.max(0, policy.window().toMillis() - observedMillis);
    }
}
