package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.parsleydrift.placement.QuotaCharge;
import org.parsleydrift.placement.QuotaDecision;
import org.parsleydrift.placement.QuotaGate;
import org.parsleydrift.placement.QuotaRequest;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Team;

/** The team of a request and the charge against its quota. Requests without a team are not limited. */
final class RequestTeam {
    private final Registry registry;
    private final QuotaGate quotas;
    private final CallerRequest request;
    private final HeaderNames headerNames;
    private final Optional<Team> team;
    private final String owner;
    private Optional<QuotaCharge> charge = Optional.empty();

    RequestTeam(Relay relay, CallerRequest request, Optional<Team> team, String owner) {
        this.registry = relay.registry();
        this.quotas = relay.quotas();
        this.headerNames = relay.headerNames();
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
    boolean isKeyRevoked() {
        return team.isPresent()
                && registry.manifest()
                        .filter(each -> RequestMatch.findTeam(each, request, headerNames)
                                .isEmpty())
                        .isPresent();
    }

    /** Returns the retry delay if the team's quota is exhausted, else empty. Does not charge the quota. */
    Optional<Duration> quotaRetryDelay() {
        return team.flatMap(quotas::retryDelay);
    }

    /**
     * Charges the request to the team's quota. To be called once per request.
     *
     * @param request what the decision depends on
     * @param listener receives the decision, possibly from within this call
     */
    void acquireQuota(QuotaRequest request, Consumer<QuotaDecision> listener) {
        if (team.isEmpty()) {
            listener.accept(QuotaDecision.UNLIMITED);
            return;
        }
        quotas.acquire(team.get(), request, decision -> {
            if (decision instanceof QuotaDecision.Allowed allowed) {
                charge = allowed.charge();
            }
            listener.accept(decision);
        });
    }

    /** Records that the request is being sent to a runner. */
    void recordSend() {
        charge.ifPresent(QuotaCharge::recordSend);
    }

    /** Charges the quota again for a retry; the first attempt may have run as well. */
    void chargeQuotaAgain() {
        charge.ifPresent(QuotaCharge::chargeAgain);
    }

    /** Reverts the latest charge of a request that no runner has started since or will start. */
    void refundQuota() {
        charge.ifPresent(QuotaCharge::refund);
    }
}
