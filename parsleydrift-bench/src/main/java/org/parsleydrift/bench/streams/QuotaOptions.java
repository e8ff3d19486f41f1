package org.parsleydrift.bench.streams;

import java.time.Duration;

/**
 * Options of the callers of teams with quotas.
 *
 * @param callers number of callers of the team that asks for more than its quota
 * @param spread time over which these callers begin; zero if they begin together
 */
public record QuotaOptions(int callers, Duration spread) {
    /** Returns the options of a run without these callers. */
    static QuotaOptions none() {
        return new QuotaOptions(0, Duration.ZERO);
    }
}
