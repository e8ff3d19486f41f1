package org.parsleydrift.registry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * Up to which moment a node's knowledge of one kind of objects is complete. A watch that waits says nothing of that: if
 * its connection or the platform has gone silent it looks like one without news. Only a call that was answered proves
 * completeness, up to the moment at which it was asked, whoever asked it: a node that knows no less than another is as
 * complete as that one.
 */
public final class KnowledgeAge {
    /**
     * Knowledge that is older is not taken for the newest. Operators' changes are in force, and leaving runners get
     * nothing more, two seconds after the platform has acknowledged them.
     */
    public static final Duration SILENCE = Duration.ofSeconds(2);

    private final RuntimeClock clock;
    private final long madeNanos;
    private OptionalLong completeNanos = OptionalLong.empty();
    private OptionalLong answeredNanos = OptionalLong.empty();
    private boolean silent;

    /**
     * Starts with nothing known.
     *
     * @param clock measures the age
     */
    public KnowledgeAge(RuntimeClock clock) {
        this.clock = clock;
        madeNanos = clock.nanos();
    }

    /**
     * The age.
     *
     * @return time since the moment up to which the knowledge is complete; before the first answer since this was made
     */
    public Duration age() {
        return since(completeNanos.orElse(madeNanos));
    }

    /**
     * The age by this node's own answered calls alone. Only this may be told to others: an age that goes from node to node
     * loses the time that each telling takes, and would come back younger than it went.
     *
     * @return time since the newest own call was asked that was answered; empty before the first
     */
    public Optional<Duration> answeredAge() {
        return answeredNanos.isPresent() ? Optional.of(since(answeredNanos.getAsLong())) : Optional.empty();
    }

    /**
     * Whether no call was answered that was asked after a moment.
     *
     * @param nanos the moment, on the clock
     * @return whether all answered calls were asked before it
     */
    boolean answeredBefore(long nanos) {
        return answeredNanos.isEmpty() || answeredNanos.getAsLong() - nanos < 0;
    }

    /**
     * Notes a silence once the age is above {@link #SILENCE}.
     *
     * @return whether a silence began with this call
     */
    boolean noticeSilence() {
        boolean begins = !silent && completeNanos.isPresent() && age().compareTo(SILENCE) > 0;
        silent |= begins;
        return begins;
    }

    /**
     * Notes that a call of this node was answered.
     *
     * @param askedNanos when it was asked, on the clock
     * @return whether a silence ended with this call
     */
    boolean answered(long askedNanos) {
        answeredNanos = later(answeredNanos, askedNanos);
        return completeAt(askedNanos);
    }

    /**
     * Notes that the knowledge is complete up to a moment.
     *
     * @param nanos the moment, on the clock
     * @return whether a silence ended with this call
     */
    boolean completeAt(long nanos) {
        completeNanos = later(completeNanos, nanos);
        boolean ends = silent && age().compareTo(SILENCE) <= 0;
        silent &= !ends;
        return ends;
    }

    private Duration since(long nanos) {
        return Duration.ofNanos(clock.nanos() - nanos);
    }

    private static OptionalLong later(OptionalLong known, long nanos) {
        return known.isPresent() && nanos - known.getAsLong() <= 0 ? known : OptionalLong.of(nanos);
    }
}
