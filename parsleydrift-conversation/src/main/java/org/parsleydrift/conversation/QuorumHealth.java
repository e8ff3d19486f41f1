package org.parsleydrift.conversation;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Whether the store VMs answer turns, as the last ones found. Load pattern: no quorum answers for seconds; each turn waited
 * for it as long as it might, one after the other, though its node knew from those before that none comes. Once a turn has
 * waited in vain, the others are told at once, and one in a while tries for all.
 */
final class QuorumHealth {
    /** Pause between turns that try: a quorum that is back is noticed within it. */
    private static final Duration PROBE_PAUSE = Duration.ofMillis(100);

    private final LongSupplier nanos;
    private boolean silent;
    private long probedNanos;
    private long answeredNanos;

    QuorumHealth(LongSupplier nanos) {
        this.nanos = nanos;
        this.answeredNanos = nanos.getAsLong();
    }

    /** Whether a turn may try; it is the one that tries for all while none is answered. */
    boolean mayTry() {
        long now = nanos.getAsLong();
        if (silent && now - probedNanos < PROBE_PAUSE.toNanos()) {
            return false;
        }
        probedNanos = now;
        return true;
    }

    /** Notes that a quorum answered; gives whether that is news. */
    boolean answered() {
        answeredNanos = nanos.getAsLong();
        boolean news = silent;
        silent = false;
        return news;
    }

    /** Notes that a try that began at a moment waited in vain; gives whether that is news. */
    boolean waitedInVain(long begunNanos) {
        boolean outdated = begunNanos - answeredNanos < 0;
        boolean news = !silent && !outdated;
        silent |= news;
        return news;
    }
}
