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
public final class Allotments {
    /** Time over which free places are given out to newcomers, s: some times as long as use at other nodes takes to be heard. */
    private static final double SPREAD_SECONDS = 1;
    /** Usual time to come back, before the demand is counted in: a turn or two of others end meanwhile. */
    private static final Duration COME_BACK = Duration.ofMillis(300);
    /** Longest time to come back: callers follow it up to a third of the time that they have left. */
    private static final Duration COME_BACK_MOST = Duration.ofSeconds(1);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanos;
    private final RandomGenerator random;
    private final Duration window;
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
     * @param window the span in which requests are counted
     * @param hearsPeers whether this node hears other nodes, or knows that there is none
     */
    public Allotments(LongSupplier nanos, RandomGenerator random, Duration window, BooleanSupplier hearsPeers) {
        this.nanos = nanos;
        this.random = random;
        this.window = window;
        this.hearsPeers = hearsPeers;
        this.startNanos = nanos.getAsLong();
        this.peers = new PeerUse(window);
    }

    /**
     * Takes in what others have told.
     *
     * @param reports by node or zone; one of no node for one that is gone
     */
    public void peers(Map<String, UseReport> reports) {
        peers.tell(reports, nanos.getAsLong());
    }

    /**
     * Forgets what some have told, since others tell it from now on.
     *
     * @param tellers nodes or zones
     */
    public void movedFrom(Set<String> tellers) {
        peers.movedFrom(tellers);
    }

    /**
     * What this node tells others.
     *
     * @return its own use
     */
    public UseReport report() {
        Map<String, TeamUse> uses = own.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> each.getValue().use()));
        uses.values().removeIf(TeamUse::isNone);
        own.keySet().retainAll(uses.keySet());
        return new UseReport(1, unseenMillis(), uses);
    }

    /**
     * Whether nothing more of a team may run now.
     *
     * @param team the team
     * @return true at its limit
     */
    public boolean full(Team team) {
        return team.allotment().limited() && ran(team) + 1 > most(team);
    }

    /**
     * When a request that is turned away should come back: later the more is asked for beside what is left.
     *
     * @param team its team
     * @return the time, not spread yet
     */
    public Duration comeBack(Team team) {
        double over =
                Math.max(1, use(team).asked() / Math.max(1, team.allotment().ratePerSecond()));
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
    public AllotmentRuling ask(Team team, boolean underWay, boolean ofProgram) {
        boolean begins = !underWay && ofProgram;
        if (!team.allotment().limited()) {
            need.let(begins);
            return AllotmentRuling.UNLIMITED;
        }
        if (!hearsPeers.getAsBoolean()) {
            return new AllotmentRuling.Unsure();
        }
        TeamCounts counts = own.computeIfAbsent(team.name(), any -> new TeamCounts(nanos, window));
        int needed = begins ? need.requests() : 1;
        if (!underWay) {
            counts.asked(needed);
        }
        if (full(team) || (!underWay && !newcomerMayPass(team))) {
            return new AllotmentRuling.Over(comeBack(team));
        }
        need.let(begins);
        if (!underWay) {
            counts.planned(needed);
        }
        long now = nanos.getAsLong();
        counts.ran(now, 1);
        return new AllotmentRuling.Allowed(Optional.of(new AllottedPlace(counts, now)));
    }

    /** The free places of the window go to all newcomers of the next second alike, at whichever node they ask. */
    private boolean newcomerMayPass(Team team) {
        TeamUse use = use(team);
        double free = most(team) - use.planned();
        if (free <= 0) {
            return false;
        }
        double passing = team.allotment().ratePerSecond() + free / SPREAD_SECONDS;
        double asking = use.asked() / (TeamCounts.ASKED_SPAN.toMillis() / 1000.0);
        return random.nextDouble() * asking < passing;
    }

    private int ran(Team team) {
        return use(team).ran();
    }

    private TeamUse use(Team team) {
        TeamCounts counts = own.get(team.name());
        TeamUse others = peers.total().of(team.name());
        return counts == null ? others : others.plus(counts.use());
    }

    /** What may run in the window, less the share of it in which nobody knows what former lives of nodes let pass. */
    private double most(Team team) {
        int unseen = peers.total().unseenMillis() + unseenMillis();
        double spanMillis = (double) window.toMillis() * (peers.total().nodes() + 1);
        return team.allotment().most(window.toMillis() / 1000.0) * (1 - Math.min(1, unseen / spanMillis));
    }

    private int unseenMillis() {
        long seen = (nanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
        return (int) Math.max(0, window.toMillis() - seen);
    }
}
