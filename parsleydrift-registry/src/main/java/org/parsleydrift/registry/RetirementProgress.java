package org.parsleydrift.registry;

/** Progress of the retirement of a store VM. */
public enum RetirementProgress {
    /** Records are being copied. */
    RUNNING,
    /** All records have been copied; the VM can be removed. */
    COMPLETE
}
