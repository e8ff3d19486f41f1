package org.parsleydrift.relay;

import java.time.Duration;
import java.util.OptionalLong;

/** Limits and timeouts of the processing of a request. */
final class RelayLimits {
    /** Maximum queue wait, as a share of the remaining time; the rest is needed to run the request. */
    static final double MAX_QUEUE_SHARE = 0.35;

    /** Maximum queue wait; beyond it, a retry at another time serves the caller better. */
    static final Duration MAX_QUEUE_WAIT = Duration.ofMillis(900);

    /** Maximum remaining time of a program that is believed; a longer one stems from a wrong clock of the caller. */
    static final Duration MAX_PROGRAM_TIME = Duration.ofHours(1);

    /** Share of the queue wait after which any free runner is acceptable, also one without the cached prompt. */
    static final double AFFINITY_SHARE = 0.8;

    /** Maximum time for beginning a turn at the store VMs, as a share of the remaining time. */
    private static final double MAX_BEGIN_SHARE = 0.5;

    /** Maximum time for beginning a turn; covers an epoch change or a restart of the store VMs. */
    private static final Duration MAX_BEGIN_TIME = Duration.ofMillis(1400);

    /** Maximum time for committing a stored turn, without which its response must not be completed. */
    static final Duration MAX_COMMIT_TIME = Duration.ofMillis(2500);

    /** Maximum time for settling the tokens of a turn that is not stored; continues in the background. */
    static final Duration MAX_SETTLE_TIME = Duration.ofMillis(250);

    /**
     * Maximum wait of a request for what a starting node has to know first, which takes some 300 ms to list; an
     * immediate rejection would use up the callers' one or two retries.
     */
    private static final Duration MAX_PREPARATION_WAIT = Duration.ofMillis(800);

    /** The same, as a share of the caller's deadline. */
    private static final double MAX_PREPARATION_SHARE = 0.3;

    /** Retry delay if the node does not know what it has to know yet. */
    static final Duration RETRY_DELAY_NOT_PREPARED = Duration.ofMillis(200);

    /**
     * Retry delay if the manifest may be outdated; the end of an outage of the platform is noticed within about a
     * second.
     */
    static final Duration RETRY_DELAY_OLD_MANIFEST = Duration.ofSeconds(1);

    /** Retry delay if the store VMs are unavailable; an epoch change takes some tens of ms. */
    static final Duration RETRY_DELAY_NO_STORES = Duration.ofMillis(250);

    /** Retry delay if no runner has a free slot; a usual turn ends in about 300 ms. */
    static final Duration RETRY_DELAY_NO_SLOT = Duration.ofMillis(300);

    /**
     * Retry delay if an interrupted stream cannot be continued. Short, since its origin may still be on its way to the
     * store VMs, and otherwise the caller can only begin anew.
     */
    static final Duration RETRY_DELAY_RESUMPTION = Duration.ofMillis(100);

    /** Retry delay if other attempts at the same work are under way, which end or are written as unfinished meanwhile. */
    static final Duration RETRY_DELAY_UNRESERVED = Duration.ofMillis(300);

    /** Retry delay if the process ends: another node serves at once, and callers that come back here need not be many. */
    static final Duration RETRY_DELAY_PROCESS_ENDS = Duration.ofMillis(50);

    /** Retry delay if no node could decide on the quota of the team. */
    static final Duration RETRY_DELAY_NO_PEERS = Duration.ofMillis(300);

    /**
     * Maximum jitter, as a share of the retry delay, so that callers that were rejected together do not return
     * together.
     */
    static final double RETRY_JITTER = 0.5;

    /** Maximum number of runners that one request is sent to before it is rejected as not run. */
    static final int MAX_ATTEMPTS = 6;

    /** Maximum size of a response that is buffered until it is complete, bytes. */
    static final int MAX_BUFFERED_BYTES = 8 << 20;

    /** Share of the heap that buffered responses may use in all, so that runners cannot use it up together. */
    static final double MAX_BUFFERED_HEAP_SHARE = 0.125;

    /** Maximum size of the input of a turn that is stored, bytes; with its output it fits into a frame to the store VMs. */
    static final int MAX_TURN_INPUT_BYTES = 7 << 20;

    /** Maximum size of the data of the events of a turn that is stored, bytes. */
    static final int MAX_TURN_OUTPUT_BYTES = 8 << 20;

    /** Maximum number of bytes of an event stream without a complete event that has an id or data. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** Maximum number of bytes of interim responses and of responses to other requests before the response. */
    static final int MAX_SKIPPED_BYTES = 1 << 20;

    private RelayLimits() {}

    /** Returns how long a turn may take to begin at the store VMs, with the given time left, ms. */
    static Duration beginTimeout(long leftMillis) {
        return Duration.ofMillis(Math.min((long) (leftMillis * MAX_BEGIN_SHARE), MAX_BEGIN_TIME.toMillis()));
    }

    /** Returns how long a request with a deadline, ms, waits for what a starting node has to know first. */
    static Duration preparationWait(OptionalLong deadlineMillis) {
        long maxMillis = MAX_PREPARATION_WAIT.toMillis();
        long share = (long) (deadlineMillis.orElse(maxMillis) * MAX_PREPARATION_SHARE);
        return Duration.ofMillis(Math.min(share, maxMillis));
    }
}
