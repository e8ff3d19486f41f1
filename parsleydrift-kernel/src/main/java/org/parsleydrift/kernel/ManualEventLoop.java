package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.ArrayDeque;

/** An event loop on virtual time for tests. It can be paused, like a VM, and killed, like a process. */
public final class ManualEventLoop implements EventLoop {
    private final ManualScheduler scheduler;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    ManualEventLoop(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    @Override
    public RuntimeClock clock() {
        return scheduler;
    }

    @Override
    public void execute(Runnable task) {
        scheduler.scheduleAt(scheduler.nanos(), () -> dispatch(task));
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return scheduler.scheduleAt(scheduler.nanos() + delay.toNanos(), () -> dispatch(task));
    }

    /** Defers all tasks and timers until {@link #resume}. The clock continues to run, as for a paused VM. */
    public void pause() {
        paused = true;
    }

    /** Resumes the loop after {@link #pause} and runs the deferred tasks in order. */
    public void resume() {
        paused = false;
        while (!deferred.isEmpty()) {
            execute(deferred.poll());
        }
    }

    /** Discards all pending and future tasks. */
    public void kill() {
        killed = true;
        deferred.clear();
    }

    private void dispatch(Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            deferred.add(task);
            return;
        }
        task.run();
    }
}
