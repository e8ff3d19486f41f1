package org.parsleydrift.registry;

import net.openhft.hashing.LongHashFunction;

/**
 * 64-bit hashes of incarnation ids, used in place of the ids to keep the load reports between nodes small. Among 4,000
 * runners two keys of 64 bits are equal once in some 2 * 10^12 fleets; of 32 bits it would be one fleet in 540, and
 * their loads would be added unnoticed.
 */
public final class RunnerKey {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private RunnerKey() {}

    /**
     * Returns the key of an incarnation; all nodes compute the same key.
     *
     * @param incarnation id of the incarnation
     * @return its key
     */
    public static long of(String incarnation) {
        return HASH.hashChars(incarnation);
    }
}
