package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Optional;

/** Result of checking one request against its team's quota. */
public sealed interface QuotaDecision {
    /** Decision for requests of teams without a quota. */
    QuotaDecision UNLIMITED = new Allowed(Optional.empty());

    /**
     * The request is admitted.
     *
     * @param charge the charge against the quota; empty if the team has none
     */
    record Allowed(Optional<QuotaCharge> charge) implements QuotaDecision {}

    /**
     * The quota is exhausted.
     *
     * @param retryAfter suggested delay before the next attempt
     */
    record Exceeded(Duration retryAfter) implements QuotaDecision {}

    /** No node that knows the usage of the team could decide. */
    record Undetermined() implements QuotaDecision {}
}
