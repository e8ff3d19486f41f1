package org.parsleydrift.kernel.platform;

/** The kind of failure of an object store request. */
public enum StoreFailure {
    /** The object exists already or has another version than expected. Nothing was changed. */
    CONFLICT,
    /** The request was rejected: rate limit exceeded or store unavailable. Nothing was changed. */
    REFUSED,
    /** No response was received. The change may have taken effect or may still do so. */
    UNKNOWN,
    /** The object does not exist. */
    ABSENT,
    /** The response to a read is larger than this process accepts. The same request would fail again. */
    TOO_LARGE
}
