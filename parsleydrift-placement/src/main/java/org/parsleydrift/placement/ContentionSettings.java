package org.parsleydrift.placement;

/**
 * Settings of the control of contended services (docs/OPERATIONS.md, block {@code contention}).
 *
 * @param reservedShare share of a service's slots reserved for better ranks, 0 to 0.5; with 0 there is no reservation
 * @param admitShare ratio of load to slots up to which lower ranks begin new programs, 0.1 to 2
 * @param floorShare share of the assigned slots for each lower rank that waits, 0 to 0.5; times the number of waiting
 *     ranks at most 0.5
 * @param waitShare share of the remaining time that a request of a program in progress waits, 0.1 to 0.9
 * @param maxRetryAfterSeconds upper bound of the retry delay of rejected programs, s, 0.1 to 1.3; callers honour a
 *     third of their remaining time
 * @param learnSpeeds whether placement weighs the learned speeds of runners
 */
public record ContentionSettings(
        double reservedShare,
        double admitShare,
        double floorShare,
        double waitShare,
        double maxRetryAfterSeconds,
        boolean learnSpeeds) {
    /** Values of an empty block. */
    public static final ContentionSettings DEFAULTS = new ContentionSettings(0, 0.95, 0.1, 0.6, 1.0, false);
}
