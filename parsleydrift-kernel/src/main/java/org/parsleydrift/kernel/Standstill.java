package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Lets a thread stand still, as the threads of a process do that is stopped; used by tests. */
public final class Standstill {
    private Standstill() {}

    /**
     * Holds the calling thread, which neither reads nor runs timers meanwhile. An interruption does not end it.
     *
     * @param clock clock by which the time passes
     * @param time how long
     */
    public static void hold(RuntimeClock clock, Duration time) {
        long endNanos = clock.nanos() + time.toNanos();
        while (clock.nanos() - endNanos < 0) {
            LockSupport.parkNanos(endNanos - clock.nanos());
        }
    }
}
