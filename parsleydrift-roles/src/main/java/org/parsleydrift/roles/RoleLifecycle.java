package org.parsleydrift.roles;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Start and end of the role of this process, in the same order whenever signals arrive: a process that ends before it
 * accepts requests does not begin to accept any, and one that has begun drains. Thread-safe.
 */
final class RoleLifecycle {
    private final Consumer<Role> reloader;
    private Optional<Role> accepting = Optional.empty();
    private boolean ending;
    private boolean reloadRequested;

    /**
     * Creates the lifecycle of a process that has no role yet.
     *
     * @param reloader applies the settings file to a role that accepts requests
     */
    RoleLifecycle(Consumer<Role> reloader) {
        this.reloader = reloader;
    }

    /** Starts a role and makes it accept requests; returns false if the process is ending instead. */
    boolean start(Role role) {
        role.start();
        boolean reloads;
        synchronized (this) {
            if (ending) {
                return false;
            }
            // Under the lock, so that a signal that arrives meanwhile finds a role to drain.
            role.acceptRequests();
            accepting = Optional.of(role);
            reloads = reloadRequested;
        }
        if (reloads) {
            reloader.accept(role);
        }
        return true;
    }

    /** Applies the settings file, once the start is complete. */
    void reload() {
        Optional<Role> running;
        synchronized (this) {
            running = accepting;
            reloadRequested = true;
        }
        running.ifPresent(reloader);
    }

    /** Ends the start, or drains the role; returns when the process may exit. */
    void end() {
        Optional<Role> running;
        synchronized (this) {
            ending = true;
            running = accepting;
        }
        running.ifPresent(Role::drain);
    }
}
