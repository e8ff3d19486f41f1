package org.parsleydrift.placement;

import java.util.HexFormat;

/**
 * Digest of what a caller asks for, equal for all attempts at the same work: their ids differ, and they arrive at different
 * nodes. 127 bits are of the digest; the lowest one tells whether the work is shared.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record WorkKey(long high, long low) {
    private static final long SHARED = 1;
    private static final int HEX_DIGITS = 16;

    /**
     * Creates a key.
     *
     * @param high the upper 64 bits of a digest
     * @param low the lower 64 bits of the digest, the last of which is replaced
     * @param shared whether requests of several callers may be the same work, as it belongs to no program
     * @return the key
     */
    public static WorkKey of(long high, long low, boolean shared) {
        return new WorkKey(high, shared ? low | SHARED : low & ~SHARED);
    }

    /**
     * Reads a key.
     *
     * @param text the text of {@link #toString}
     * @return the key
     */
    public static WorkKey parse(String text) {
        return new WorkKey(
                HexFormat.fromHexDigitsToLong(text, 0, HEX_DIGITS),
                HexFormat.fromHexDigitsToLong(text, HEX_DIGITS, 2 * HEX_DIGITS));
    }

    /**
     * Returns whether requests of several callers may be the same work.
     *
     * @return true if it belongs to no program
     */
    public boolean isShared() {
        return (low & SHARED) != 0;
    }

    @Override
    public String toString() {
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(high) + hex.toHexDigits(low);
    }
}
