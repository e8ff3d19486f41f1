package org.parsleydrift.tools;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** A request that was refused or could not be made, with the exit code that tells which. */
public final class CallerException extends StepException {
    private final int exitCode;
    private final long retryAfterMillis;

    /**
     * Makes an error.
     *
     * @param exitCode what the command line exits with
     * @param step where it arose
     * @param peer the other side
     * @param message what happened
     * @param retryAfterMillis when to come back; 0 for never
     */
    public CallerException(int exitCode, Step step, String peer, String message, long retryAfterMillis) {
        super(step, peer, message);
        this.exitCode = exitCode;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * What the command line exits with.
     *
     * @return the exit code
     */
    public int exitCode() {
        return exitCode;
    }

    /**
     * When to come back.
     *
     * @return milliseconds, 0 for never
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
