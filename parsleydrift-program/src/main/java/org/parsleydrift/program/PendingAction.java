package org.parsleydrift.program;

/**
 * An action that is queued or in progress.
 *
 * @param id the globally unique id, stable across recoveries: program id, agent path, turn number and position in the
 *     turn
 * @param action the requested action
 * @param intended true once the intent to send a non-idempotent call was recorded, so the call may have been sent
 * @param child the path of the sub-agent started by this action, or null
 */
public record PendingAction(String id, Action action, boolean intended, String child) {
    PendingAction asIntended() {
        return new PendingAction(id, action, true, child);
    }

    PendingAction withChild(String path) {
        return new PendingAction(id, action, intended, path);
    }
}
