package org.parsleydrift.program;

/**
 * An action that waits for its turn or its end.
 *
 * @param id unique in the system and the same after every recovery: program, agent, turn and position
 * @param action what to do
 * @param intended true once a non-idempotent call may have been sent
 * @param child the path of the sub-agent that was started, or null
 */
public record PendingAction(String id, Action action, boolean intended, String child) {
    PendingAction asIntended() {
        return new PendingAction(id, action, true, child);
    }

    PendingAction withChild(String path) {
        return new PendingAction(id, action, intended, path);
    }
}
