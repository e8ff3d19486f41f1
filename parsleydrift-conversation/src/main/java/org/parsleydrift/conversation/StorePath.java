package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.OptionalLong;
import org.parsleydrift.placement.RetryBudget;

/** What this process knows about the direct path to one store VM. Confined to one event loop. */
final class StorePath {
    /** Time between direct probes of a broken path. */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    /** Weight of the newest sample in the exponentially weighted mean latency. */
    private static final double LATENCY_WEIGHT = 0.1;
    /**
     * Reserve of additional copies of unanswered requests: a first peer, and two more in case that it does not reach the
     * store VM either.
     */
    static final double MAX_EXTRA_COPIES = 3;

    private final RetryBudget extraCopies = new RetryBudget(MAX_EXTRA_COPIES);
    private boolean broken;
    private boolean forwardable;
    private long lastProbeNanos;
    private double meanReadNanos;
    private OptionalLong lastReplyNanos = OptionalLong.empty();

    boolean isBroken() {
        return broken;
    }

    /** Whether the path is broken and a peer has proved that the store VM answers through it. */
    boolean isForwardable() {
        return broken && forwardable;
    }

    /** Marks the path as broken at a time in ns; returns false if it was already. */
    boolean markBroken(long now) {
        if (broken) {
            return false;
        }
        broken = true;
        lastProbeNanos = now;
        return true;
    }

    /** Records that the store VM answered through a peer. */
    void recordForwardedReply() {
        forwardable = true;
    }

    /** Records a direct reply at a time in ns; returns whether this restored a broken path. */
    boolean recordDirectReply(long now) {
        lastReplyNanos = OptionalLong.of(now);
        boolean restored = broken;
        broken = false;
        forwardable = false;
        return restored;
    }

    /** Whether the path works and a direct reply was received within a span before a time in ns. */
    boolean isProvenWithin(Duration span, long now) {
        return !broken && lastReplyNanos.isPresent() && now - lastReplyNanos.getAsLong() <= span.toNanos();
    }

    /** Whether a broken path is due to be probed at a time in ns; if so, the caller sends the probe. */
    boolean acquireProbe(long now) {
        boolean isDue = broken && now - lastProbeNanos > PROBE_PERIOD.toNanos();
        if (isDue) {
            lastProbeNanos = now;
        }
        return isDue;
    }

    /** Credits the budget of additional copies for a request. */
    void recordRequest() {
        extraCopies.recordFirstAttempt();
    }

    /** Consumes one additional copy of an unanswered request; returns whether the budget allows it. */
    boolean acquireExtraCopy() {
        return extraCopies.tryAcquire();
    }

    /** Returns the mean latency of recent reads, ns; 0 if no read was answered yet. */
    double meanReadNanos() {
        return meanReadNanos;
    }

    void recordReadLatency(double nanos) {
        meanReadNanos = meanReadNanos == 0 ? nanos : meanReadNanos + LATENCY_WEIGHT * (nanos - meanReadNanos);
    }
}
