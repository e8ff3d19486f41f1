package org.parsleydrift.registry;

/** How far the emptying of a store VM is. */
public enum RetirementProgress {
    /** Records are being copied. */
    RUNNING,
    /** Nothing on the VM is needed any more. */
    COMPLETE
}
