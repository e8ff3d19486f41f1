package org.parsleydrift.kernel;

import java.time.Instant;

/** The only source of time of the runtime, replaced by virtual time in tests. */
public interface RuntimeClock {
    /**
     * Returns the wall-clock time, which may jump; for records and logs only.
     *
     * @return the current time with millisecond precision
     */
    Instant instant();

    /**
     * Returns the monotonic time, for timeouts and leases.
     *
     * @return nanoseconds since an arbitrary origin, never decreasing
     */
    long nanos();
}
