package org.parsleydrift.kernel.upstream;

/** The kind of failure of an upstream call. */
public enum CallFailure {
    /** The call was not sent, or the upstream reported that it did not run. */
    NOT_RUN,
    /** The call was sent and no complete response was received, so it may have run. */
    UNKNOWN,
    /** The upstream responded with an error; the call has ended. */
    FAILED
}
