package org.parsleydrift.kernel;

import java.time.Duration;
import java.util.ArrayDeque;

/** An event loop on virtual time that can be frozen (a paused VM) and killed (a dead process). */
public final class ManualEventLoop implements EventLoop {
    private final ManualScheduler scheduler;
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private boolean frozen;
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
        scheduler.at(scheduler.nanos(), () -> dispatch(task));
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return scheduler.at(scheduler.nanos() + delay.toNanos(), () -> dispatch(task));
    }

    /** Holds back all tasks and timers until {@link #resume}; time goes on, as it does for a paused VM. */
    public void pause() {
        frozen = true;
    }

    /** Runs what was held back, in order, and goes on. */
    public void resume() {
        frozen = false;
        while (!held.isEmpty()) {
            execute(held.poll());
        }
    }

    /** Drops everything held or still to come. */
    public void kill() {
        killed = true;
        held.clear();
    }

    private void dispatch(Runnable task) {
        if (killed) {
            return;
        }
        if (frozen) {
            held.add(task);
            return;
        }
        task.run();
    }
}
