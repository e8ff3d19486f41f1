package org.parsleydrift.wire;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** An HTTP request that got no whole answer. */
public final class HttpException extends StepException {
    private final boolean sent;

    HttpException(String peer, boolean sent, String message) {
        super(Step.CALL, peer, message);
        this.sent = sent;
    }

    /**
     * Whether any byte of the request can have reached the other side.
     *
     * @return false only if no connection was made
     */
    public boolean isPossiblySent() {
        return sent;
    }
}
