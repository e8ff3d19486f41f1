package org.parsleydrift.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleydrift.registry.Runner;

/** The attempts of one request: the runners it was sent to, and how many of them may have run it. */
final class Tries {
    private final Set<String> avoided = new HashSet<>();
    private int offers;
    private int runs;

    /** Returns the ids of the runner incarnations that the request must not be sent to again. */
    Set<String> avoided() {
        return avoided;
    }

    int offers() {
        return offers;
    }

    /** Counts an attempt. */
    void offered() {
        offers++;
    }

    /** Records an attempt that certainly did not run. */
    void notRunAt(String life) {
        avoided.add(life);
    }

    /** Records an attempt that may have run. */
    void mayHaveRunAt(String life) {
        runs++;
        avoided.add(life);
    }

    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Returns whether the route's limit permits another attempt that may run, after the current one. */
    boolean anotherAllowed(int maxAttempts) {
        return runs + 1 < maxAttempts;
    }

    /** Returns whether the request may be sent to one of the given runners. */
    boolean mayBeOffered(List<Runner> runners) {
        return offers < RelayLimits.MOST_OFFERS && anyLeft(runners);
    }

    /** Returns whether one of the given runners has not been tried yet. */
    boolean anyLeft(List<Runner> runners) {
        return runners.stream().anyMatch(each -> !avoided.contains(each.incarnation()));
    }
}
