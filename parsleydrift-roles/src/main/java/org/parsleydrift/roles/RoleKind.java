package org.parsleydrift.roles;

/** What a process of the caller-driven deployment does. */
public enum RoleKind {
    /** Serves callers, and tells them which addresses to use. */
    ENTRY,
    /** Keeps conversations on its disk. */
    STORE
}
