package org.parsleydrift.kernel.platform;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if a request to the platform's object store fails. */
public final class StoreException extends StepException {
    private final StoreFailure failure;

    /**
     * Creates an exception.
     *
     * @param failure the kind of failure
     * @param key the key, or the key prefix, of the request
     */
    public StoreException(StoreFailure failure, String key) {
        super(Step.PLATFORM, "platform", failure + " for object " + key);
        this.failure = failure;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the kind of failure, never null
     */
    public StoreFailure failure() {
        return failure;
    }

    /**
     * Returns the kind of failure of a request.
     *
     * @param thrown the exception with which the request's future failed
     * @return the kind of failure; UNKNOWN for any other exception, since the change may have taken effect
     */
    public static StoreFailure of(Throwable thrown) {
        return unwrap(thrown) instanceof StoreException known ? known.failure() : StoreFailure.UNKNOWN;
    }
}
