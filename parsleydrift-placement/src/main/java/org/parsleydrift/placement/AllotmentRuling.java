package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Optional;

/** Result of checking one request against its team's quota. */
public sealed interface AllotmentRuling {
    /** Decision for requests of teams without a quota. */
    AllotmentRuling UNLIMITED = new Allowed(Optional.empty());

    /**
     * The request is admitted.
     *
     * @param place the charge against the quota; empty if the team has none
     */
    record Allowed(Optional<AllottedPlace> place) implements AllotmentRuling {}

    /**
     * The quota is exhausted.
     *
     * @param comeBack suggested delay before the next attempt
     */
    record Over(Duration comeBack) implements AllotmentRuling {}

    /** This node has no usage reports from its peers, so it cannot decide. */
    record Unsure() implements AllotmentRuling {}
}
