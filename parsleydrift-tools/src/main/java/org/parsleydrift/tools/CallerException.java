package org.parsleydrift.tools;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown when a request was refused or could not be sent; the exit code distinguishes the two. */
public final class CallerException extends StepException {
    private final int exitCode;
    private final long retryAfterMillis;

    /**
     * Creates an exception.
     *
     * @param exitCode one of the constants of {@link ExitCode}
     * @param step the step that failed
     * @param peer address or name of the remote side
     * @param message the error message
     * @param retryAfterMillis delay before a retry in milliseconds; 0 if a retry is useless
     */
    public CallerException(int exitCode, Step step, String peer, String message, long retryAfterMillis) {
        super(step, peer, message);
        this.exitCode = exitCode;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns the exit code of the command line.
     *
     * @return one of the constants of {@link ExitCode}
     */
    public int exitCode() {
        return exitCode;
    }

    /**
     * Returns the delay before a retry.
     *
     * @return milliseconds; 0 if a retry is useless
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
