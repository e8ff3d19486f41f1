package org.parsleydrift.kernel.platform;

/** How a request to the platform failed. */
public enum StoreFailure {
    /** The condition did not hold: the object exists, or has another version. Nothing was changed. */
    CONFLICT,
    /** Past the rate allowance, or down and saying so. Nothing was changed. */
    REFUSED,
    /** No answer: the change may have taken effect or may yet do so. */
    UNKNOWN,
    /** There is no such object. */
    ABSENT
}
