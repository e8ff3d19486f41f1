package org.parsleydrift.wire;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if an HTTP request ends without a complete response. */
public final class HttpException extends StepException {
    private final boolean possiblySent;

    HttpException(String peer, boolean possiblySent, String message) {
        super(Step.CALL, peer, message);
        this.possiblySent = possiblySent;
    }

    /**
     * Returns whether any part of the request may have reached the server.
     *
     * @return false if the request was certainly not sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }
}
