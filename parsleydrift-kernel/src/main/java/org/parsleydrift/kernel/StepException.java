package org.parsleydrift.kernel;

import java.util.concurrent.CompletionException;

/** An exception with the processing step and the peer at which the error occurred. */
public class StepException extends RuntimeException {
    private final Step step;
    private final String peer;

    /**
     * Creates an exception.
     *
     * @param step the step at which the error occurred
     * @param peer the address or name of the peer; "self" if there is none
     * @param message the description of the error
     */
    public StepException(Step step, String peer, String message) {
        super(message);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Returns the step at which the error occurred.
     *
     * @return the step, never null
     */
    public Step step() {
        return step;
    }

    /**
     * Returns the peer at which the error occurred.
     *
     * @return an address or a name; "self" if there is no peer
     */
    public String peer() {
        return peer;
    }

    /**
     * Removes the {@link CompletionException}s that futures wrap around the cause of a failure.
     *
     * @param failure the exception with which a future failed
     * @return the first exception in the chain of causes that is not a {@link CompletionException}
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
