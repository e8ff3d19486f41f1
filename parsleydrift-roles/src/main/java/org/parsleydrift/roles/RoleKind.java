package org.parsleydrift.roles;

/** Roles of a process of the caller-driven deployment. */
public enum RoleKind {
    /** Serves callers, and answers which addresses they can use. */
    ENTRY,
    /** Stores conversations on its disk. */
    STORE
}
