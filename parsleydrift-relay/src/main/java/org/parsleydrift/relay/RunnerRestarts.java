package org.parsleydrift.relay;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.RunnerKey;

/**
 * Tells which runners may have been restarted since the platform last confirmed their entries. A restarted process can be
 * back at its address with other software before its new entry is known. The end of a process shows in its connections.
 *
 * <p>Memory is bounded: beyond {@link #MAX_RUNNERS}, the runner whose connection was lost first is forgotten. Confined to
 * the event loop.
 */
final class RunnerRestarts {
    /** Maximum number of runners that are tracked. */
    static final int MAX_RUNNERS = 4096;
    /** Time from the end of a process within which a successor may serve before the platform has its entry. */
    private static final Duration ENTRY_DELAY = Duration.ofSeconds(1);

    private final LongSupplier nanos;
    private Supplier<Duration> staleness = () -> Duration.ZERO;
    /** Times of the latest lost connections, ns, by key of the runner, the latest one last. */
    private final Map<Long, Long> lost = new LinkedHashMap<>();
    /** The same of the runners that have not answered since on a later connection. */
    private final Map<Long, Long> unanswered = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param nanos monotonic clock of the loop, ns
     */
    RunnerRestarts(LongSupplier nanos) {
        this.nanos = nanos;
    }

    /** Sets what returns the time since the entries of the runners were confirmed by the platform. */
    void setStaleness(Supplier<Duration> newStaleness) {
        staleness = newStaleness;
    }

    /** Records that a connection to a runner was lost, or could not be established. */
    void recordLost(long runner) {
        putLast(lost, runner);
        putLast(unanswered, runner);
    }

    private void putLast(Map<Long, Long> times, long runner) {
        times.remove(runner);
        times.put(runner, nanos.getAsLong());
        if (times.size() > MAX_RUNNERS) {
            times.remove(times.keySet().iterator().next());
        }
    }

    /** Records an answer on a connection that was established at a time, ns; its process has run since then. */
    void recordAnswer(Runner runner, long connectedNanos) {
        if (!unanswered.isEmpty()) {
            unanswered.computeIfPresent(
                    RunnerKey.of(runner.incarnation()),
                    (any, lostNanos) -> connectedNanos - lostNanos > 0 ? null : lostNanos);
        }
        if (!lost.isEmpty()) {
            lost.computeIfPresent(
                    RunnerKey.of(runner.incarnation()),
                    (any, lostNanos) -> connectedNanos - lostNanos < 0 ? null : lostNanos);
        }
    }

    /** Returns whether another process than the one of the entry may serve at the runner's address. */
    boolean mayHaveRestarted(Runner runner) {
        removeConfirmed();
        return lost.containsKey(RunnerKey.of(runner.incarnation()));
    }

    /** Returns whether a runner has not answered on a connection that was established after the latest loss of one. */
    boolean hasNotAnsweredSince(Runner runner) {
        return unanswered.containsKey(RunnerKey.of(runner.incarnation()));
    }

    /** Removes the runners whose entries were confirmed after a successor would have written its own. */
    private void removeConfirmed() {
        long confirmedNanos = nanos.getAsLong() - staleness.get().toNanos();
        Iterator<Long> times = lost.values().iterator();
        while (times.hasNext() && confirmedNanos - times.next() > ENTRY_DELAY.toNanos()) {
            times.remove();
        }
    }
}
