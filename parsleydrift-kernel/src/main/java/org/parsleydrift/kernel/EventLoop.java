package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A single-threaded loop that owns all state of one node. Tasks run in the order in which they were handed in; timers
 * run on the loop. Replies of outside systems reach the loop as tasks, so no decision needs a lock.
 */
public interface EventLoop extends Executor {
    /**
     * The clock that this loop and all decisions on it read.
     *
     * @return the clock
     */
    RuntimeClock clock();

    /**
     * Runs a task once, after a delay.
     *
     * @param delay the time to wait, on this loop's clock
     * @param task what to run
     * @return a handle that cancels the task if it has not run
     */
    Cancellable schedule(Duration delay, Runnable task);

    /**
     * Runs a task again and again, each run one period after the previous one ended.
     *
     * @param period the time between runs
     * @param task what to run
     */
    default void scheduleWithFixedDelay(Duration period, Runnable task) {
        schedule(period, () -> {
            task.run();
            scheduleWithFixedDelay(period, task);
        });
    }
}
