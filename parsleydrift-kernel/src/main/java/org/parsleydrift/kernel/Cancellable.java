package org.parsleydrift.kernel;

/** A timer on an event loop. */
@FunctionalInterface
public interface Cancellable {
    /** Cancels the timer; without effect if its task has run. */
    void cancel();
}
