package org.parsleydrift.registry;

import net.openhft.hashing.LongHashFunction;

/** 64-bit hashes of incarnation ids, used in place of the ids to keep the load reports between nodes small. */
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
