package org.parsleydrift.wire;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** Thrown if an HTTP request ends without a complete response. */
public final class HttpException extends StepException {
    private final boolean possiblySent;
    private final boolean tooLarge;

    HttpException(String peer, boolean possiblySent, String message) {
        this(peer, possiblySent, false, message);
    }

    private HttpException(String peer, boolean possiblySent, boolean tooLarge, String message) {
        super(Step.CALL, peer, message);
        this.possiblySent = possiblySent;
        this.tooLarge = tooLarge;
    }

    /** Creates the exception for a response that is larger than the client accepts. */
    static HttpException tooLarge(String peer, int maxBytes) {
        return new HttpException(peer, true, true, "response larger than " + maxBytes + " bytes");
    }

    /**
     * Returns whether any part of the request may have reached the server.
     *
     * @return false if the request was certainly not sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }

    /**
     * Returns whether the response was larger than the client accepts.
     *
     * @return true if the same request would fail again
     */
    public boolean isResponseTooLarge() {
        return tooLarge;
    }
}
