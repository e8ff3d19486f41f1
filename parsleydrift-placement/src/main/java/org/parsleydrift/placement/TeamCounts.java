package org.parsleydrift.placement;

import java.time.Duration;
import java.util.function.LongSupplier;

/** What one node has let pass of one team. */
final class TeamCounts {
    /** Span over which the rate of asking is taken: short beside a burst, and some requests of a small team. */
    static final Duration ASKED_SPAN = Duration.ofMillis(500);

    private final LongSupplier nanos;
    private final SlidingCount ran;
    private final SlidingCount planned;
    private final SlidingCount asked = new SlidingCount(ASKED_SPAN);
    private final SlidingCount pressed = new SlidingCount(ASKED_SPAN);

    TeamCounts(LongSupplier nanos, Duration window) {
        this.nanos = nanos;
        ran = new SlidingCount(window);
        planned = new SlidingCount(window);
    }

    long now() {
        return nanos.getAsLong();
    }

    void ran(long atNanos, int count) {
        ran.add(atNanos, count);
    }

    void planned(int need) {
        planned.add(now(), need);
    }

    void asked(int need) {
        asked.add(now(), need);
    }

    void pressed() {
        pressed.add(now(), 1);
    }

    TeamUsage use() {
        long now = now();
        return new TeamUsage(ran.windowed(now), planned.windowed(now), asked.sum(now), pressed.sum(now));
    }
}
