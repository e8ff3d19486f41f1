package org.parsleydrift.bench.streams;

import java.time.Duration;

/**
 * Options of the callers that compare each response with what its runner sent.
 *
 * @param callers number of these callers
 * @param grace grace time of the processes after SIGTERM, whole seconds
 * @param rolling whether the entry processes are sent SIGTERM one after the other and start again when they have ended
 */
public record ResponseOptions(int callers, Duration grace, boolean rolling) {
    /** Grace time of processes under runs without these callers. */
    static final Duration SHORT_GRACE = Duration.ofSeconds(3);

    /** Returns the options of a run without these callers. */
    static ResponseOptions none() {
        return new ResponseOptions(0, SHORT_GRACE, false);
    }
}
