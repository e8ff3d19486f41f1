package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A single-threaded event loop that owns the state of one node. Tasks run in the order of submission. Timers and
 * responses of external systems also run as tasks of the loop, so the state needs no locks.
 */
public interface EventLoop extends Executor {
    /**
     * Returns the clock on which delays of this loop are measured.
     *
     * @return the clock, the same in every call
     */
    RuntimeClock clock();

    /**
     * Runs a task once after a delay.
     *
     * @param delay the delay on this loop's clock
     * @param task the task to run
     * @return a handle that cancels the task if it has not run yet
     */
    Cancellable schedule(Duration delay, Runnable task);

    /**
     * Runs a task periodically. Each run starts one period after the end of the previous one; a run that throws an
     * exception is the last one.
     *
     * @param period the time between the end of a run and the start of the next one
     * @param task the task to run
     */
    default void scheduleWithFixedDelay(Duration period, Runnable task) {
        schedule(period, () -> {
            task.run();
            scheduleWithFixedDelay(period, task);
        });
    }
}
