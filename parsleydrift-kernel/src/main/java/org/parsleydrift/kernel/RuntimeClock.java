package org.parsleydrift.kernel;

import java.time.Instant;

/** The clock of the runtime. Decisions read no other; tests pause and advance it. */
public interface RuntimeClock {
    /**
     * Reads wall-clock time, for records and logs only.
     *
     * @return the present instant, to the millisecond
     */
    Instant instant();

    /**
     * Reads monotonic time, for timeouts and leases.
     *
     * @return nanoseconds since an arbitrary origin, never decreasing
     */
    long nanos();
}
