package org.parsleydrift.kernel;

import java.time.Clock;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The clock of the operating system. All other code reads the time through {@link RuntimeClock}. */
public final class SystemClock implements RuntimeClock {
    private final Clock clock = Clock.systemUTC();

    @Override
    public Instant instant() {
        return clock.instant().truncatedTo(ChronoUnit.MILLIS);
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
