package org.parsleydrift.registry;

import java.time.Duration;
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
    private long completeNanos;
    private boolean silent;

    /**
     * Starts with an age of 0.
     *
     * @param clock measures the age
     */
    public KnowledgeAge(RuntimeClock clock) {
        this.clock = clock;
        completeNanos = clock.nanos();
    }

    /**
     * The age.
     *
     * @return time since the moment up to which the knowledge is complete
     */
    public Duration age() {
        return Duration.ofNanos(clock.nanos() - completeNanos);
    }

    /**
     * Whether a silence that was noticed has not ended yet.
     *
     * @return whether the platform is silent
     */
    public boolean silent() {
        return silent;
    }

    /**
     * Notes a silence once the age is above {@link #SILENCE}.
     *
     * @return whether a silence began with this call
     */
    boolean noticeSilence() {
        boolean begins = !silent && age().compareTo(SILENCE) > 0;
        silent |= begins;
        return begins;
    }

    /**
     * Notes that the knowledge is complete up to a moment.
     *
     * @param nanos the moment, on the clock
     * @return whether a silence ended with this call
     */
    boolean completeAt(long nanos) {
        if (nanos - completeNanos <= 0) {
            return false;
        }
        completeNanos = nanos;
        boolean ends = silent;
        silent = false;
        return ends;
    }
}
