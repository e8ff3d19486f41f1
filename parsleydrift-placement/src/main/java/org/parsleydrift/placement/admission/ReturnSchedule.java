package org.parsleydrift.placement.admission;

import java.time.Duration;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Return slots of rejected programs. A node assigns the slots of the programs that it rejects, and learns those of its
 * peers, since callers return at any node. Not thread-safe; confined to one event loop.
 */
public final class ReturnSchedule {
    /** Maximum number of slots told to the peers, and learned from them in one report. */
    public static final int MAX_ANNOUNCED = 256;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * The return slot of one rejected program.
     *
     * @param programKey {@link ReturnSchedule#programKey} of the program
     * @param leftMillis time until the slot, ms; negative after it
     */
    public record Slot(long programKey, int leftMillis) {}

    /**
     * Returns the key of a program; all nodes compute the same key.
     *
     * @param program id of the program
     * @return its 64-bit hash
     */
    public static long programKey(String program) {
        return HASH.hashChars(program);
    }

    /**
     * Assigns a return slot to a rejected program.
     *
     * @param service the contended service, whose slots are spaced apart
     * @param programKey key of the program
     * @param earliest time until the present backlog is predicted to be cleared
     * @param spacing time between two slots of the service at this node
     * @param latest upper bound of the delay
     * @param nowNanos current time, ns
     * @return delay until the slot
     */
    Duration reserve(
            String service, long programKey, Duration earliest, Duration spacing, Duration latest, long nowNanos) {
        return latest;
    }

    /**
     * Returns whether a program returns within its slot.
     *
     * @param programKey key of the program
     * @param nowNanos current time, ns
     * @return true from shortly before the slot until it is discarded; false for a program without a slot
     */
    public boolean isDue(long programKey, long nowNanos) {
        return false;
    }

    /**
     * Returns the slots that this node has assigned, for the report to its peers.
     *
     * @param nowNanos current time, ns
     * @return the newest {@link #MAX_ANNOUNCED} slots that are not discarded yet, newest first
     */
    public List<Slot> announced(long nowNanos) {
        return List.of();
    }

    /**
     * Adds the slots that a peer has assigned. Implausible ones are ignored.
     *
     * @param slots slots of a peer's report
     * @param nowNanos current time, ns
     * @return number of ignored slots
     */
    public int learn(List<Slot> slots, long nowNanos) {
        return 0;
    }
}
