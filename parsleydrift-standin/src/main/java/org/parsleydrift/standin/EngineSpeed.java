package org.parsleydrift.standin;

/**
 * How fast a stand-in engine is.
 *
 * @param slots turns at once; more wait in order of arrival
 * @param prefillMicrosPerToken time for each prompt token that is not cached
 * @param decodeMicrosPerToken time for each generated token
 * @param cacheTokens how much it keeps cached; the least recently used goes first
 */
public record EngineSpeed(int slots, int prefillMicrosPerToken, int decodeMicrosPerToken, int cacheTokens) {
    /** An engine that a person can watch. */
    public static final EngineSpeed DEFAULT = new EngineSpeed(8, 50, 3000, 400_000);
}
