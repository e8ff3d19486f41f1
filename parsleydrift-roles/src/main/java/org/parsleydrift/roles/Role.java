package org.parsleydrift.roles;

/** Role that a process runs. */
interface Role {
    void start();

    /** Finishes open work; returns when the process may exit. */
    void drain();

    /** Applies the settings file, which may have changed. */
    void reload(RoleSettings settings);
}
