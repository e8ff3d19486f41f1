package org.parsleydrift.bench.streams;

import java.time.Duration;
import java.util.Set;

/**
 * Options of the callers that compare each response with what its runner sent.
 *
 * @param callers number of these callers
 * @param grace grace time of the processes after SIGTERM, whole seconds
 * @param troubles what happens meanwhile
 */
public record ResponseOptions(int callers, Duration grace, Set<ResponseTrouble> troubles) {
    /** Grace time of processes under runs without these callers. */
    static final Duration SHORT_GRACE = Duration.ofSeconds(3);

    /** Copies the set. */
    public ResponseOptions {
        troubles = Set.copyOf(troubles);
    }

    /** Returns the options of a run without these callers. */
    static ResponseOptions none() {
        return new ResponseOptions(0, SHORT_GRACE, Set.of());
    }

    boolean has(ResponseTrouble trouble) {
        return troubles.contains(trouble);
    }
}
