package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.parsleydrift.registry.Team;

/** Checks requests against the quotas of their teams. Confined to one event loop. */
public interface QuotaGate {
    /**
     * Returns the retry delay if the quota of a team is known to be exhausted. Charges nothing.
     *
     * @param team the team
     * @return the delay without jitter; empty if the quota may have room
     */
    Optional<Duration> retryDelay(Team team);

    /**
     * Checks a request against the quota of its team and charges the quota if the request is admitted.
     *
     * @param team the team of the request
     * @param request the request
     * @param listener receives the decision, once, on the event loop; possibly from within this call
     */
    void acquire(Team team, QuotaRequest request, Consumer<QuotaDecision> listener);
}
