package org.parsleydrift.conversation;

import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;

/** A request is larger than the largest frame that its receiver accepts, and was not sent. */
final class FrameTooLargeException extends StepException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param address the address of the receiver
     * @param kind the type of the request
     * @param bytes its size, bytes
     * @param maxBytes the largest accepted size, bytes
     */
    FrameTooLargeException(String address, String kind, int bytes, int maxBytes) {
        super(
                Step.COMMIT,
                address,
                "a request of type " + kind + " has " + bytes + " bytes, more than the " + maxBytes
                        + " bytes that a frame may have");
    }
}
