package org.parsleydrift.kernel.upstream;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if a call of an engine, a tool or a plain service fails. */
public final class CallException extends StepException {
    private final CallFailure failure;
    private final boolean leaving;

    /**
     * Creates an exception.
     *
     * @param step the step that made the call
     * @param peer the address of the upstream
     * @param failure the kind of failure
     * @param leaving true if the upstream reported that it is shutting down
     * @param message the description of the failure
     */
    public CallException(Step step, String peer, CallFailure failure, boolean leaving, String message) {
        super(step, peer, message);
        this.failure = failure;
        this.leaving = leaving;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the kind of failure, never null
     */
    public CallFailure failure() {
        return failure;
    }

    /**
     * Returns whether the upstream reported that it is shutting down.
     *
     * @return true if the upstream accepts no further calls
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the kind of failure of a call.
     *
     * @param thrown the exception with which the call's future failed
     * @return the kind of failure; UNKNOWN for any other exception, since the call may have run
     */
    public static CallFailure of(Throwable thrown) {
        return unwrap(thrown) instanceof CallException known ? known.failure() : CallFailure.UNKNOWN;
    }
}
