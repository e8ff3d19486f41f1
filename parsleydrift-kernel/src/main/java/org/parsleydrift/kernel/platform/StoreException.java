package org.parsleydrift.kernel.platform;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** A failed request to the platform's object API. */
public final class StoreException extends StepException {
    private final StoreFailure failure;

    /**
     * Makes an error.
     *
     * @param failure how it failed
     * @param key the object concerned
     */
    public StoreException(StoreFailure failure, String key) {
        super(Step.PLATFORM, "platform", failure + " on " + key);
        this.failure = failure;
    }

    /**
     * How the request failed.
     *
     * @return the kind of failure
     */
    public StoreFailure failure() {
        return failure;
    }

    /**
     * Classifies what a request to the platform failed with.
     *
     * @param thrown the failure of a future
     * @return its kind; UNKNOWN for anything not typed, since the change may have happened
     */
    public static StoreFailure of(Throwable thrown) {
        return unwrap(thrown) instanceof StoreException known ? known.failure() : StoreFailure.UNKNOWN;
    }
}
