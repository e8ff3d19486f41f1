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

/** The team of a request and the charge against its quota. Requests without a team are not limited. */
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

    /** Returns the prefix of the ids of the request's turns and programs, which separates owners. */
    String owner() {
        return owner;
    }

    /** Returns the priority of the team or, if it has none, of the route; 0 is the highest. */
    int priority(Route route) {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    /** Returns whether no team of the manifest in force owns the key of the request any more. */
    boolean takenAway() {
        return team.isPresent()
                && registry.manifest()
                        .filter(each ->
                                RequestMatch.holder(each, request, dialect).isEmpty())
                        .isPresent();
    }

    /** Returns the retry delay if the team's quota is exhausted, else empty. Does not charge the quota. */
    Optional<Duration> full() {
        return team.filter(allotments::isExhausted).map(allotments::retryAfter);
    }

    /**
     * Charges the request to the team's quota. To be called once per request.
     *
     * @param underWay whether the request's program has already used runner time
     * @param ofProgram whether the request belongs to a program, which needs further requests
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

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    void again() {
        place.ifPresent(QuotaCharge::chargeAgain);
    }

    /** Reverts the latest charge of a request that no runner has started since or will start. */
    void giveBack() {
        place.ifPresent(QuotaCharge::refund);
    }
}
