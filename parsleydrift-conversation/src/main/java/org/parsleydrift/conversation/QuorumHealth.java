package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Circuit breaker for requests that need a quorum of the store VMs. After a request has timed out, further ones fail
 * immediately, except for periodic probes, until one succeeds.
 */
final class QuorumHealth {
    /** Minimum time between probes while the circuit is open. */
    private static final Duration PROBE_PAUSE = Duration.ofMillis(100);

    private final LongSupplier nanos;
    private boolean silent;
    private long probedNanos;
    private long answeredNanos;

    QuorumHealth(LongSupplier nanos) {
        this.nanos = nanos;
        this.answeredNanos = nanos.getAsLong();
    }

    /** Returns true if a request may proceed; while the circuit is open, that request is the probe. */
    boolean mayTry() {
        long now = nanos.getAsLong();
        if (silent && now - probedNanos < PROBE_PAUSE.toNanos()) {
            return false;
        }
        probedNanos = now;
        return true;
    }

    /** Records that a quorum answered; returns true if this closed the circuit. */
    boolean answered() {
        answeredNanos = nanos.getAsLong();
        boolean news = silent;
        silent = false;
        return news;
    }

    /**
     * Records the failure of a request that started at the given time; returns true if this opened the circuit. Ignores
     * requests that started before the last success.
     */
    boolean waitedInVain(long begunNanos) {
        boolean outdated = begunNanos - answeredNanos < 0;
        boolean news = !silent && !outdated;
        silent |= news;
        return news;
    }
}
