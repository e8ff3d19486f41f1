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
 * Which requests of a team may run, by what all nodes together have let pass. Load pattern: one team sends many times its
 * usual, spread over all nodes, of which each sees a few requests a second. Nobody is asked for a decision: each node adds
 * what it let pass itself to what the others have told, some tenths of a second ago.
 *
 * <p>A program is of use only as a whole. So the requests of programs under way pass up to the limit itself, while a new one
 * is let in by what it will need: as many as the window holds, spread so that nodes that hear of each other late don't fill
 * a freed place all at once. Those turned away are told before anything was done for them.
 *
 * <p>Confined to one loop.
 */
public final class QuotaTracker {
    /** Time over which free places are given out where more ask, s: some times as long as use takes to be heard. */
    private static final double SPREAD_SECONDS = 1.2;
    /** Part of the span of asking for which others' asking is not heard yet. */
    private static final double UNHEARD_SHARE = 0.6;
    /** Share of what leaves the window next that is given out at once. */
    private static final double LEAVING_SHARE = 0.4;
    /** Usual time to come back, before the demand is counted in: a turn or two of others end meanwhile. */
    private static final Duration COME_BACK = Duration.ofMillis(300);
    /** Longest time to come back: callers follow it up to a third of the time that they have left. */
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
     * Starts with nothing counted.
     *
     * @param nanos the loop's clock
     * @param random chooses among newcomers
     * @param rule how requests are counted
     * @param hearsPeers whether this node hears other nodes, or knows that there is none
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
     * Takes in what others have told.
     *
     * @param reports by node or zone; one of no node for one that is gone
     */
    public void updatePeers(Map<String, UsageReport> reports) {
        peers.tell(reports, nanos.getAsLong());
    }

    /**
     * Forgets what some have told, since others tell it from now on.
     *
     * @param tellers nodes or zones
     */
    public void forgetReporters(Set<String> tellers) {
        peers.movedFrom(tellers);
    }

    /**
     * What this node tells others.
     *
     * @return its own use
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
     * Whether nothing more of a team may run now.
     *
     * @param team the team
     * @return true at its limit
     */
    public boolean isExhausted(Team team) {
        return team.quota().isLimited() && free(team, use(team).sent()) < 1;
    }

    /**
     * When a request that is turned away should come back: later the more is asked for beside what is left.
     *
     * @param team its team
     * @return the time, not spread yet
     */
    public Duration retryAfter(Team team) {
        double over = Math.max(
                1, perSecond(use(team).newDemand()) / Math.max(1, team.quota().ratePerSecond()));
        long millis = (long) (COME_BACK.toMillis() * over);
        return Duration.ofMillis(Math.min(COME_BACK_MOST.toMillis(), millis));
    }

    /**
     * Asks for a place.
     *
     * @param team whose request it is
     * @param underWay whether its program has already used runner time
     * @param ofProgram whether it belongs to a program, which will need more places
     * @return whether it may run
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

    /** For a request of a program under way. */
    private boolean maySpend(Team team) {
        TeamUsage use = use(team);
        return drawn(
                free(team, use.sent()),
                use.sent(),
                use.inProgressDemand(),
                others(team).inProgressDemand());
    }

    /** For a program's first request, or one of none. */
    private boolean mayBegin(Team team) {
        TeamUsage use = use(team);
        double free = free(team, use.planned());
        return free > 0
                && drawn(free, use.planned(), use.newDemand(), others(team).newDemand());
    }

    /**
     * Where more ask than there are free places, these go to all that ask in the next while alike, at whichever node: each
     * node sees the same ones, and would fill them all before it hears of the others. What leaves the window is free, too. As
     * many as others let ask are taken to have asked there since unheard.
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
