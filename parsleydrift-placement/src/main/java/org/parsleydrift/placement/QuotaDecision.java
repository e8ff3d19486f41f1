package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Optional;

/** Whether a request of a team may run now. */
public sealed interface QuotaDecision {
    /** For requests of teams that have no limit. */
    QuotaDecision UNLIMITED = new Allowed(Optional.empty());

    /**
     * It may run.
     *
     * @param charge what it takes of the allotment; empty where there is no limit
     */
    record Allowed(Optional<QuotaCharge> charge) implements QuotaDecision {}

    /**
     * The team has used its allotment up.
     *
     * @param retryAfter when there may be room again
     */
    record Exceeded(Duration retryAfter) implements QuotaDecision {}

    /** This node can't know what the team has used at others. */
    record Undetermined() implements QuotaDecision {}
}
