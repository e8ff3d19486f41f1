package org.parsleydrift.placement.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Runners that rejected a request as full. Such a runner counts as full for a while, which is doubled if it rejects
 * again shortly after. Not thread-safe.
 */
public final class RunnerSaturation {
    private static final Duration INITIAL_MARK = Duration.ofMillis(100);
    private static final Duration MAX_MARK = Duration.ofMillis(800);

    private final Map<String, Mark> marks = new HashMap<>();

    /**
     * Records a rejection. Rejections while the runner is marked belong to requests sent before, and change nothing.
     *
     * @param incarnation id of the runner's incarnation
     * @param nowNanos monotonic time, ns
     */
    public void recordRejection(String incarnation, long nowNanos) {
        Mark former = marks.get(incarnation);
        if (former != null && former.endNanos() - nowNanos > 0) {
            return;
        }
        boolean repeated = former != null && nowNanos - former.endNanos() < former.spanNanos();
        long spanNanos = repeated ? Math.min(2 * former.spanNanos(), MAX_MARK.toNanos()) : INITIAL_MARK.toNanos();
        marks.put(incarnation, new Mark(nowNanos + spanNanos, spanNanos));
    }

    /**
     * Returns whether a runner counts as full.
     *
     * @param incarnation id of the runner's incarnation
     * @param nowNanos monotonic time, ns
     * @return true until the mark ends
     */
    public boolean isSaturated(String incarnation, long nowNanos) {
        Mark mark = marks.get(incarnation);
        return mark != null && mark.endNanos() - nowNanos > 0;
    }

    /**
     * Drops the marks of runners that are gone.
     *
     * @param incarnations ids of the incarnations that remain
     */
    public void retainRunners(Set<String> incarnations) {
        marks.keySet().retainAll(incarnations);
    }

    private record Mark(long endNanos, long spanNanos) {}
}
