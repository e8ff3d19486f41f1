package org.parsleydrift.bench.drain;

import java.util.EnumMap;
import java.util.Map;

/** Counts of a run. */
final class DrainTally {
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    int requests;
    double wastedMillis;
    private int inTime;
    private int late;
    private int failedUnknown;
    private int rejectedInTime;
    private int rejectedLate;
    private int rejectedFailed;
    private int drains;
    private double drainMillis;
    private double longestDrainMillis;

    void add(Outcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    void addDrain(double millis) {
        drains++;
        drainMillis += millis;
        longestDrainMillis = Math.max(longestDrainMillis, millis);
    }

    void addEnd(ModelRequest request, boolean served, boolean mayHaveRun, double nowMillis) {
        boolean isInTime = request.isInTime(nowMillis);
        failedUnknown += mayHaveRun ? 1 : 0;
        inTime += served && isInTime ? 1 : 0;
        late += served && !isInTime ? 1 : 0;
        if (request.rejected) {
            rejectedInTime += served && isInTime ? 1 : 0;
            rejectedLate += served && !isInTime ? 1 : 0;
            rejectedFailed += served ? 0 : 1;
        }
    }

    DrainResult result() {
        return new DrainResult(
                requests,
                share(inTime),
                share(late),
                share(requests - inTime - late),
                share(failedUnknown),
                share(count(Outcome.CUT)),
                share(count(Outcome.UNKNOWN_AT_END)),
                share(count(Outcome.TIMED_OUT)),
                share(count(Outcome.INTERRUPTED)),
                share(count(Outcome.REJECTED_BY_DRAIN)),
                share(rejectedInTime),
                share(rejectedLate),
                share(rejectedFailed),
                share(count(Outcome.REJECTED_FULL)),
                share(count(Outcome.CONNECTION_REFUSED)),
                drains == 0 ? 0 : drainMillis / drains,
                longestDrainMillis,
                requests == 0 ? 0 : wastedMillis / requests);
    }

    private int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Returns a number per 10,000 requests. */
    private double share(int number) {
        return requests == 0 ? 0 : number * 10_000.0 / requests;
    }
}
