package org.parsleydrift.standin;

/**
 * What is wrong with the stand-in platform. A value; switched on by request.
 *
 * @param outage every request goes unanswered
 * @param delayMillis every answer comes this much later
 * @param loseAnswers share of changes whose answer is lost after they took effect, 0 to 1
 * @param watchBroken watches never answer
 * @param callsPerSecond past this number of calls in a second, waiting watches among them, calls are refused; 0 for no
 *     limit
 */
public record PlatformFaults(
        boolean outage, long delayMillis, double loseAnswers, boolean watchBroken, int callsPerSecond) {
    /** Nothing is wrong. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0);
}
