package org.parsleydrift.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleydrift.registry.Runner;

/** The attempts of one request: the runners it was sent to, and how many of them may have run it. */
final class Attempts {
    private final Set<String> excludedRunners = new HashSet<>();
    private int count;
    private int possibleRuns;

    /** Returns the ids of the runner incarnations that the request must not be sent to again. */
    Set<String> excludedRunners() {
        return excludedRunners;
    }

    int count() {
        return count;
    }

    /** Counts an attempt. */
    void recordAttempt() {
        count++;
    }

    /** Records an attempt that certainly did not run. */
    void recordNotRun(String incarnation) {
        excludedRunners.add(incarnation);
    }

    /** Records an attempt that may have run. */
    void recordPossibleRun(String incarnation) {
        possibleRuns++;
        excludedRunners.add(incarnation);
    }

    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns whether the route's limit permits another attempt that may run, after the current one. */
    boolean allowsRetry(int maxAttempts) {
        return possibleRuns + 1 < maxAttempts;
    }

    /** Returns whether the request may be sent to one of the given runners. */
    boolean canTryAnother(List<Runner> runners) {
        return count < RelayLimits.MAX_ATTEMPTS && hasUntried(runners);
    }

    /** Returns whether one of the given runners has not been tried yet. */
    boolean hasUntried(List<Runner> runners) {
        return runners.stream().anyMatch(each -> !excludedRunners.contains(each.incarnation()));
    }
}
