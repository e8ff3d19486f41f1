package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A single-threaded event loop that owns the state of one node. Timers and responses of external systems also run as
 * tasks of the loop, so the state needs no locks.
 *
 * <p>All implementations keep the same contract. {@link #execute} can be called on any thread, and always queues its task:
 * the task never runs within the call, not even when it is called on the thread of the loop. Tasks that one thread submits
 * with it run in the order of submission, one at a time. A task that throws an exception does not keep later ones from
 * running.
 *
 * <p>A task of {@link #schedule} runs after all tasks that were submitted with {@link #execute} before it was due, and after
 * the loop has read what had arrived by then. A timeout therefore does not mistake a time in which the process or the loop's
 * thread was stopped for a silence of others. This does not cover messages that other threads receive and have not submitted
 * yet, messages that were not received as the whole machine was stopped, and messages that take more than one read, such as
 * those on connections to be accepted. There is no further order between the tasks of these two methods.
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
     * Runs a task periodically. Each run starts one period after the end of the previous one, also if that has thrown an
     * exception, which is handled like that of any other task.
     *
     * @param period the time between the end of a run and the start of the next one
     * @param task the task to run
     */
    default void scheduleWithFixedDelay(Duration period, Runnable task) {
        schedule(period, () -> {
            try {
                task.run();
            } finally {
                scheduleWithFixedDelay(period, task);
            }
        });
    }
}
