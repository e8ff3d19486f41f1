package org.parsleydrift.kernel.upstream;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** A failed call of an engine, a tool or a plain service. */
public final class CallException extends StepException {
    private final CallFailure failure;
    private final boolean leaving;

    /**
     * Makes an error.
     *
     * @param step the step that made the call
     * @param peer the upstream's address
     * @param failure how it failed
     * @param leaving true if the upstream said that it is leaving
     * @param message what happened
     */
    public CallException(Step step, String peer, CallFailure failure, boolean leaving, String message) {
        super(step, peer, message);
        this.failure = failure;
        this.leaving = leaving;
    }

    /**
     * How the call failed.
     *
     * @return the kind of failure
     */
    public CallFailure failure() {
        return failure;
    }

    /**
     * Whether the upstream said that it is leaving.
     *
     * @return true if so
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Classifies what a call failed with.
     *
     * @param thrown the failure of a future
     * @return its kind; UNKNOWN for anything not typed, since the call may have run
     */
    public static CallFailure of(Throwable thrown) {
        return unwrap(thrown) instanceof CallException known ? known.failure() : CallFailure.UNKNOWN;
    }
}
