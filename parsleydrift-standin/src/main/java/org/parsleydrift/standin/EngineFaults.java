package org.parsleydrift.standin;

/**
 * What is wrong with a stand-in engine. A value; switched on by request.
 *
 * @param leaving refuses new turns and says that it is leaving
 * @param silent sends nothing more on any stream
 * @param failTurns share of turns that break off half-way, 0 to 1
 */
public record EngineFaults(boolean leaving, boolean silent, double failTurns) {
    /** Nothing is wrong. */
    public static final EngineFaults NONE = new EngineFaults(false, false, 0);
}
