package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Circuit breaker for requests that need a quorum of the store VMs. After a request has timed out, further ones fail
 * immediately, except for periodic probes, until one succeeds.
 */
final class QuorumCircuitBreaker {
    /** Minimum time between probes while the circuit is open; a quorum that is back is noticed within it. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(100);

    private final LongSupplier nanoClock;
    private boolean isOpen;
    private long lastProbeNanos;
    private long lastSuccessNanos;

    QuorumCircuitBreaker(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.lastSuccessNanos = nanoClock.getAsLong();
    }

    /** Returns true if a request may proceed; while the circuit is open, that request is the probe. */
    boolean tryAcquire() {
        long now = nanoClock.getAsLong();
        if (isOpen && now - lastProbeNanos < PROBE_INTERVAL.toNanos()) {
            return false;
        }
        lastProbeNanos = now;
        return true;
    }

    /** Records that a quorum answered; returns true if this closed the circuit. */
    boolean recordSuccess() {
        lastSuccessNanos = nanoClock.getAsLong();
        boolean closed = isOpen;
        isOpen = false;
        return closed;
    }

    /**
     * Records the failure of a request that started at the given time; returns true if this opened the circuit. Ignores
     * requests that started before the last success.
     */
    boolean recordFailure(long startNanos) {
        boolean isOutdated = startNanos - lastSuccessNanos < 0;
        boolean opened = !isOpen && !isOutdated;
        isOpen |= opened;
        return opened;
    }
}
