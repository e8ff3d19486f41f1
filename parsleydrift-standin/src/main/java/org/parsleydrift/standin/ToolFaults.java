package org.parsleydrift.standin;

/**
 * What is wrong with a stand-in tool or service. A value; switched on by request.
 *
 * @param leaving refuses calls and says that it is leaving
 * @param hang takes calls and neither runs nor answers them
 * @param loseAnswers share of calls that run and whose answer is lost, 0 to 1
 */
public record ToolFaults(boolean leaving, boolean hang, double loseAnswers) {
    /** Nothing is wrong. */
    public static final ToolFaults NONE = new ToolFaults(false, false, 0);
}
