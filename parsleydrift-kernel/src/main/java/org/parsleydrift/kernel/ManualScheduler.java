package org.parsleydrift.kernel;

import java.time.Duration;
import java.time.Instant;

/**
 * Virtual time shared by any number of {@link ManualEventLoop}s. Nothing runs but inside {@link #advance}, always in
 * the same order, so a run with one seed repeats itself exactly.
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
     * Makes a loop on this time.
     *
     * @return a new loop
     */
    public ManualEventLoop newLoop() {
        return new ManualEventLoop(this);
    }

    /**
     * Advances time, running all that falls due on the way.
     *
     * @param span how far to advance
     */
    public void advance(Duration span) {
        long end = nowNanos + span.toNanos();
        for (var entry = queue.poll(end); entry != null; entry = queue.poll(end)) {
            nowNanos = Math.max(nowNanos, entry.dueNanos());
            entry.run();
        }
        nowNanos = end;
    }

    Cancellable at(long dueNanos, Runnable task) {
        return queue.add(dueNanos, task);
    }
}
