package org.parsleydrift.relay;

import java.time.Duration;

/** Times and shares that bound the life of a request. */
final class RelayLimits {
    /** Share of the time left for which a request waits for a runner; the rest is needed to run it. */
    static final double QUEUE_SHARE = 0.35;

    /** Longest wait for a runner; past it another try at another time serves the caller better. */
    static final Duration QUEUE_MOST = Duration.ofMillis(900);

    /** Share of the wait for which a request waits for the runner that holds its prompt; past it any with room will do. */
    static final double HELD_SHARE = 0.8;

    /** Share of the time left for which the store VMs are tried before a turn begins. */
    static final double BEGIN_SHARE = 0.5;

    /** Longest try of the store VMs at the beginning; an epoch change or a restart takes less. */
    static final Duration BEGIN_MOST = Duration.ofMillis(1400);

    /** Longest try of the store VMs at the end of a turn that is kept; its answer can't be given without. */
    static final Duration COMMIT_MOST = Duration.ofMillis(2500);

    /** Wait for the note of tokens of a turn that is not kept; it goes on in the background. */
    static final Duration SETTLE_WAIT = Duration.ofMillis(250);

    /**
     * Longest wait of a request at a node that has just started and knows no manifest yet. It lists in some 300 ms. Callers
     * try once or twice more at all; a refusal at once uses these tries up while the node starts.
     */
    static final Duration START_WAIT = Duration.ofMillis(800);

    /** Share of the time left for which a request waits for the first manifest. */
    static final double START_SHARE = 0.3;

    /** When to come back to a node that still knows no manifest. */
    static final Duration COME_BACK_START = Duration.ofMillis(200);

    /** When to come back to a node whose manifest may be old: the platform's return is noticed within about a second. */
    static final Duration COME_BACK_MANIFEST = Duration.ofSeconds(1);

    /** When to come back after the store VMs could not answer: an epoch change takes some tens of ms. */
    static final Duration COME_BACK_STORES = Duration.ofMillis(250);

    /** When to come back when runners are full: a usual turn ends in about 300 ms. */
    static final Duration COME_BACK_FULL = Duration.ofMillis(300);

    /** When to come back to a node that hears no peer: callers reach another address meanwhile. */
    static final Duration COME_BACK_ALONE = Duration.ofMillis(300);

    /** Spread of the time to come back, so that callers refused together don't return together. */
    static final double COME_BACK_SPREAD = 0.5;

    /** Runners that may say "not executed" to one request before it is refused. */
    static final int MOST_OFFERS = 6;

    /** Largest answer that is held until it is whole, bytes. */
    static final int MOST_HELD_BYTES = 8 << 20;

    private RelayLimits() {}
}
