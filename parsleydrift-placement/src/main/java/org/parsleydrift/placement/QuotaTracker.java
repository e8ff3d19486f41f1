package org.parsleydrift.placement;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.registry.Team;

/**
 * Enforces the quotas of teams. One node at a time decides on the requests of a team, its coordinator
 * ({@link QuotaCoordinators}); it adds the requests that it has admitted to the usage that other nodes have reported,
 * which have decided before it or decide at the same time while nodes disagree on the coordinator.
 *
 * <p>An incomplete program wastes the capacity that it has used. Requests of programs in progress are therefore
 * admitted up to the limit, while a new program is admitted only if its expected number of requests fits. If demand
 * exceeds the remaining quota, requests are selected at random, so that those of programs in progress find room
 * through the whole window.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class QuotaTracker implements QuotaGate {
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

    /** Mean unobserved time of the peers, as a share of that of this node, from which on most nodes count as restarted. */
    private static final double RESTARTED_PEERS_SHARE = 0.75;

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

    @Override
    public Optional<Duration> retryDelay(Team team) {
        return isExhausted(team) ? Optional.of(retryAfter(team)) : Optional.empty();
    }

    /** Decides as the only node. */
    @Override
    public void acquire(Team team, QuotaRequest request, Consumer<QuotaDecision> listener) {
        listener.accept(acquire(team, request, QuotaAuthority.SETTLED));
    }

    /**
     * Returns whether this node has observed the window, or as much of it as most of its peers. Otherwise they may know
     * of requests that it has admitted before its start.
     *
     * @return true if no other node is likely to know more
     */
    public boolean hasObservedWindow() {
        UsageReport others = peers.total();
        return unobservedMillis() == 0
                || others.unobservedMillis() >= RESTARTED_PEERS_SHARE * others.nodes() * unobservedMillis();
    }

    /**
     * Checks a request against the quota of its team and charges the quota if the request is admitted.
     *
     * @param team the team of the request
     * @param request the request
     * @param authority how complete the usage of the team is that this node knows
     * @return the decision
     */
    public QuotaDecision acquire(Team team, QuotaRequest request, QuotaAuthority authority) {
        if (!team.quota().isLimited()) {
            programSize.recordRequest(request.startsProgram());
            return QuotaDecision.UNLIMITED;
        }
        if (!peerUsageKnown.getAsBoolean()) {
            return new QuotaDecision.Undetermined();
        }
        TeamCounters counters = counters(team);
        int expectedRequests = request.startsProgram() ? programSize.requestsPerProgram() : 1;
        Demand demand = request.inProgress() ? counters.inProgressDemand() : counters.newDemand();
        demand.add(nanos.getAsLong(), expectedRequests);
        boolean fits = !isExhausted(team) && (request.inProgress() ? canContinue(team) : canStart(team));
        if (!fits || !isAuthorized(team, counters, authority)) {
            LOG.log(
                    Logger.Level.INFO,
                    () -> describe("quota_exceeded", team)
                            .with("authority", authority)
                            .toString());
            return new QuotaDecision.Exceeded(retryAfter(team));
        }
        programSize.recordRequest(request.startsProgram());
        long now = nanos.getAsLong();
        demand.addMet(now, expectedRequests);
        if (authority == QuotaAuthority.PROVISIONAL) {
            counters.addProvisional(now);
        }
        return new QuotaDecision.Allowed(Optional.of(addCharge(team, request.inProgress() ? 0 : expectedRequests)));
    }

    /**
     * Charges a request to the quota of its team without a check, as it may run in any case.
     *
     * @param team the team of the request
     */
    public void charge(Team team) {
        if (team.quota().isLimited()) {
            addCharge(team, 0);
        }
    }

    private QuotaCharge addCharge(Team team, int plannedRequests) {
        QuotaCharge charge = new CountedCharge(() -> counters(team), plannedRequests);
        if (remaining(team, usage(team).sent()) < 0) {
            LOG.log(Logger.Level.INFO, () -> describe("quota_overdrawn", team).toString());
        }
        return charge;
    }

    private TeamCounters counters(Team team) {
        return ownCounters.computeIfAbsent(team.name(), any -> new TeamCounters(nanos, policy.window()));
    }

    /** Bounds what this node admits while another one may have admitted requests that it does not know of. */
    private boolean isAuthorized(Team team, TeamCounters counters, QuotaAuthority authority) {
        return switch (authority) {
            case SETTLED -> true;
            case PROVISIONAL -> counters.provisional(nanos.getAsLong()) + 1 <= policy.provisionalLimit(team.quota());
        };
    }

    private boolean canContinue(Team team) {
        TeamUsage usage = usage(team);
        return isSelected(
                remaining(team, usage.sent()),
                usage.sent(),
                unmetDemand(team, TeamCounters::inProgressDemand),
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
                        unmetDemand(team, TeamCounters::newDemand),
                        peerUsage(team).newDemand());
    }

    private int unmetDemand(Team team, Function<TeamCounters, Demand> kind) {
        TeamCounters counters = ownCounters.get(team.name());
        return counters == null ? 0 : kind.apply(counters).unmet(nanos.getAsLong());
    }

    /**
     * Selects requests at random if the unmet demand exceeds the remaining quota, which is thereby granted over some
     * time. The demand at other nodes is that of a coordinator before or beside this one.
     *
     * @param demand recent demand at this node that was not met, including the present request
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

    /** Share of the window whose usage is unknown; a node that has run for longer knows also that of former nodes. */
    private double unobservedShare() {
        if (unobservedMillis() == 0) {
            return 0;
        }
        int unobserved = peers.total().unobservedMillis() + unobservedMillis();
        double spanMillis = (double) policy.window().toMillis() * (peers.total().nodes() + 1);
        return Math.min(1, unobserved / spanMillis);
    }

    private int unobservedMillis() {
        long observedMillis = (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
        return (int) Math.max(0, policy.window().toMillis() - observedMillis);
    }
}
