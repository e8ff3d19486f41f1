package org.parsleydrift.kernel.upstream;

/** How a call of an upstream failed. */
public enum CallFailure {
    /** It was not sent, or the upstream says that it did not run. */
    NOT_RUN,
    /** It was sent and no whole answer came. */
    UNKNOWN,
    /** The upstream answered with an error: it is over. */
    FAILED
}
