package org.parsleydrift.placement;

import java.time.Duration;
import java.util.Optional;

/** Whether a request of a team may run now. */
public sealed interface AllotmentRuling {
    /** For requests of teams that have no limit. */
    AllotmentRuling UNLIMITED = new Allowed(Optional.empty());

    /**
     * It may run.
     *
     * @param place what it takes of the allotment; empty where there is no limit
     */
    record Allowed(Optional<AllottedPlace> place) implements AllotmentRuling {}

    /**
     * The team has used its allotment up.
     *
     * @param comeBack when there may be room again
     */
    record Over(Duration comeBack) implements AllotmentRuling {}

    /** This node can't know what the team has used at others. */
    record Unsure() implements AllotmentRuling {}
}
