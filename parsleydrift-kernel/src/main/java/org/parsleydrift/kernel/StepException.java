package org.parsleydrift.kernel;

import java.util.concurrent.CompletionException;

/** An error that names the step and the peer at which it arose. */
public class StepException extends RuntimeException {
    private final Step step;
    private final String peer;

    /**
     * Makes an error.
     *
     * @param step where it arose
     * @param peer the other side, an address or a name; "self" if there is none
     * @param message what happened, in a sentence
     */
    public StepException(Step step, String peer, String message) {
        super(message);
        this.step = step;
        this.peer = peer;
    }

    /**
     * The step at which the error arose.
     *
     * @return the step
     */
    public Step step() {
        return step;
    }

    /**
     * The other side.
     *
     * @return an address or a name; "self" if there is none
     */
    public String peer() {
        return peer;
    }

    /**
     * Finds the cause beneath the wrappers that futures add.
     *
     * @param failure what a future failed with
     * @return the first cause that is no {@link CompletionException}
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
