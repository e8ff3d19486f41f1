package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.parsleydrift.placement.QuotaCharge;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.placement.QuotaTracker;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Team;

/** The team that a request came from, and its place in that team's allotment. A request of no team has all it needs. */
final class TeamClaim {
    private final Registry registry;
    private final QuotaTracker allotments;
    private final CallerRequest request;
    private final HeaderNames dialect;
    private final Optional<Team> team;
    private final String owner;
    private Optional<QuotaCharge> place = Optional.empty();

    TeamClaim(Relay relay, CallerRequest request, Optional<Team> team, String owner) {
        this.registry = relay.registry();
        this.allotments = relay.allotments();
        this.dialect = relay.dialect();
        this.request = request;
        this.team = team;
        this.owner = owner;
    }

    Optional<Team> team() {
        return team;
    }

    /** Whose the request's turns and programs are. */
    String owner() {
        return owner;
    }

    /** The rank of the request: its team's, or else its route's. */
    int priority(Route route) {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    /** Whether the newest manifest names nobody any more who holds the request's key. */
    boolean takenAway() {
        return team.isPresent()
                && registry.manifest()
                        .filter(each ->
                                RequestMatch.holder(each, request, dialect).isEmpty())
                        .isPresent();
    }

    /** When to come back if nothing of the team may run now; known before the store VMs are asked for a turn. */
    Optional<Duration> full() {
        return team.filter(allotments::isExhausted).map(allotments::retryAfter);
    }

    /**
     * Asks once for a place in the allotment.
     *
     * @param underWay whether its program has already used runner time
     * @param ofProgram whether it belongs to a program, which will need more places
     */
    QuotaDecision ask(boolean underWay, boolean ofProgram) {
        if (team.isEmpty()) {
            return QuotaDecision.UNLIMITED;
        }
        QuotaDecision ruling = allotments.acquire(team.get(), underWay, ofProgram);
        if (ruling instanceof QuotaDecision.Allowed allowed) {
            place = allowed.charge();
        }
        return ruling;
    }

    /** It goes to another runner though the one before may have run it: that counts once more. */
    void again() {
        place.ifPresent(QuotaCharge::chargeAgain);
    }

    /** No runner has begun it or will. */
    void giveBack() {
        place.ifPresent(QuotaCharge::refund);
    }
}
