package org.parsleydrift.kernel;

import java.time.Duration;
import java.time.Instant;

/**
 * A deterministic scheduler with virtual time for any number of {@link ManualEventLoop}s. Tasks run only during
 * {@link #advance} and in a fixed order, so a test with a fixed seed is reproducible.
 */
public final class ManualScheduler implements RuntimeClock {
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private final TimerQueue queue = new TimerQueue();
    private long nowNanos;

    @Override
    public Instant instant() {
        return ORIGIN.plusMillis(nowNanos / 1_000_000);
    }

    @Override
    public long nanos() {
        return nowNanos;
    }

    /**
     * Creates an event loop on this scheduler's virtual time.
     *
     * @return a new loop
     */
    public ManualEventLoop newLoop() {
        return new ManualEventLoop(this);
    }

    /**
     * Advances the virtual time and runs all tasks that become due.
     *
     * @param span the time to advance
     */
    public void advance(Duration span) {
        long end = nowNanos + span.toNanos();
        for (var entry = queue.poll(end); entry != null; entry = queue.poll(end)) {
            nowNanos = Math.max(nowNanos, entry.dueNanos());
            entry.run();
        }
        nowNanos = end;
    }

    Cancellable scheduleAt(long dueNanos, Runnable task) {
        return queue.add(dueNanos, task);
    }
}
