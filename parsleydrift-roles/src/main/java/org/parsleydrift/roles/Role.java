package org.parsleydrift.roles;

/** A running role. */
interface Role {
    /** Starts it. */
    void start();

    /** Ends it without cutting anything short; returns when the process may end. */
    void drain();

    /** Told that the settings file may have changed. */
    void reload(RoleSettings settings);
}
