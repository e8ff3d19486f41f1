package org.parsleydrift.registry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * Staleness of a node's local copy of one kind of shared objects. A pending watch does not prove that the copy is
 * current: a dead connection looks like a watch without changes. Only an answered request does, as of the time when the
 * request was sent. The request may be this node's own or that of a peer whose copy is no newer.
 */
public final class StalenessTracker {
    /**
     * Staleness above which the local copy is not considered current. Configuration changes and drains must take effect
     * within this time after the platform has acknowledged them.
     */
    public static final Duration MAX_STALENESS = Duration.ofSeconds(2);

    private final RuntimeClock clock;
    private final long createdNanos;
    private OptionalLong completeNanos = OptionalLong.empty();
    private OptionalLong ownCompleteNanos = OptionalLong.empty();
    private boolean outage;

    /**
     * Creates a tracker for a copy that has not been read yet.
     *
     * @param clock clock that staleness is measured with
     */
    public StalenessTracker(RuntimeClock clock) {
        this.clock = clock;
        createdNanos = clock.nanos();
    }

    /**
     * Returns the staleness of the local copy.
     *
     * @return time since the copy was known to be complete; before the first answer, time since this tracker was
     *     created
     */
    public Duration staleness() {
        return elapsedSince(completeNanos.orElse(createdNanos));
    }

    /**
     * Returns the staleness derived from this node's own requests only. Peers are sent this value: a staleness relayed
     * from node to node would lose the time spent in transit and come back too small.
     *
     * @return time since the latest answered own request was sent; empty before the first answer
     */
    public Optional<Duration> ownStaleness() {
        return ownCompleteNanos.isPresent()
                ? Optional.of(elapsedSince(ownCompleteNanos.getAsLong()))
                : Optional.empty();
    }

    /**
     * Whether no request sent at or after a time has been answered.
     *
     * @param nanos time on the clock, ns
     * @return true if every answered request was sent before that time
     */
    boolean hasNoAnswerSince(long nanos) {
        return ownCompleteNanos.isEmpty() || ownCompleteNanos.getAsLong() - nanos < 0;
    }

    /**
     * Detects an outage when the staleness exceeds {@link #MAX_STALENESS}.
     *
     * @return true if an outage begins with this call
     */
    boolean detectOutage() {
        boolean begins = !outage && completeNanos.isPresent() && staleness().compareTo(MAX_STALENESS) > 0;
        outage |= begins;
        return begins;
    }

    /**
     * Records that a request of this node was answered.
     *
     * @param requestNanos time on the clock at which the request was sent, ns
     * @return true if an outage ends with this call
     */
    boolean recordAnswer(long requestNanos) {
        ownCompleteNanos = latest(ownCompleteNanos, requestNanos);
        return recordCompleteAt(requestNanos);
    }

    /**
     * Records that the local copy is complete as of a time.
     *
     * @param nanos time on the clock, ns
     * @return true if an outage ends with this call
     */
    boolean recordCompleteAt(long nanos) {
        completeNanos = latest(completeNanos, nanos);
        boolean ends = outage && staleness().compareTo(MAX_STALENESS) <= 0;
        outage &= !ends;
        return ends;
    }

    private Duration elapsedSince(long nanos) {
        return Duration.ofNanos(clock.nanos() - nanos);
    }

    private static OptionalLong latest(OptionalLong known, long nanos) {
        return known.isPresent() && nanos - known.getAsLong() <= 0 ? known : OptionalLong.of(nanos);
    }
}
