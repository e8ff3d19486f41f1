package org.parsleydrift.placement;

import java.time.Duration;
import java.util.function.LongSupplier;

/** What one node has let pass of one team. */
final class TeamCounts {
    /** Span over which the rate at which newcomers ask is taken: some programs of a small team, and short beside a burst. */
    static final Duration ASKED_SPAN = Duration.ofSeconds(1);

    private final LongSupplier nanos;
    private final SlidingCount ran;
    private final SlidingCount planned;
    private final SlidingCount asked;

    TeamCounts(LongSupplier nanos, Duration window) {
        this.nanos = nanos;
        ran = new SlidingCount(window);
        planned = new SlidingCount(window);
        asked = new SlidingCount(ASKED_SPAN);
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

    TeamUse use() {
        long now = now();
        return new TeamUse(ran.sum(now), planned.sum(now), asked.sum(now));
    }
}
