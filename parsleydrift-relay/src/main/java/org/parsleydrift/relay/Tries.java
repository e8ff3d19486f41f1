package org.parsleydrift.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleydrift.registry.Runner;

/** The runners that one request was offered to, and how many of them may have run it. */
final class Tries {
    private final Set<String> avoided = new HashSet<>();
    private int offers;
    private int runs;

    /** Lives of runners that it must not go to again. */
    Set<String> avoided() {
        return avoided;
    }

    int offers() {
        return offers;
    }

    /** A runner is offered the request. */
    void offered() {
        offers++;
    }

    /** A runner surely has not run it. */
    void notRunAt(String life) {
        avoided.add(life);
    }

    /** A runner may have run it. */
    void mayHaveRunAt(String life) {
        runs++;
        avoided.add(life);
    }

    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Whether one more runner may run it after the present one, by the number that its route allows. */
    boolean anotherAllowed(int maxAttempts) {
        return runs + 1 < maxAttempts;
    }

    /** Whether it may be offered to one of some runners yet. */
    boolean mayBeOffered(List<Runner> runners) {
        return offers < RelayLimits.MOST_OFFERS && anyLeft(runners);
    }

    /** Whether there is a runner that it was not offered to yet. */
    boolean anyLeft(List<Runner> runners) {
        return runners.stream().anyMatch(each -> !avoided.contains(each.incarnation()));
    }
}
