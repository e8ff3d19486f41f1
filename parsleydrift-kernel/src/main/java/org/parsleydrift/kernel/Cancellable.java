package org.parsleydrift.kernel;

/** A handle to cancel a scheduled task or an operation in progress. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels the task or operation. Has no effect after its completion. */
    void cancel();
}
