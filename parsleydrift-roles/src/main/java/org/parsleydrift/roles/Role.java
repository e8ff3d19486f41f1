package org.parsleydrift.roles;

/** Role that a process runs. A role that has been constructed neither listens nor sends anything. */
interface Role {
    /** Starts all parts of the role. Requests are not accepted yet, so the process may still end without a drain. */
    void start();

    /** Starts to accept requests, as the last step of the start. */
    void acceptRequests();

    /** Finishes open work; returns when the process may exit. Called only after {@link #acceptRequests}. */
    void drain();

    /** Applies the settings file, which may have changed. */
    void reload(RoleSettings settings);
}
