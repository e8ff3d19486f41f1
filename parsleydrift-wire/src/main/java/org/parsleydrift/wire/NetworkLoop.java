package org.parsleydrift.wire;

import io.netty.util.concurrent.EventExecutor;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * An event loop on a network thread. Running tasks on the thread that received the data avoids a context switch per
 * message. Timers run after the connections of the thread have been read.
 */
public final class NetworkLoop implements EventLoop {
    private static final Logger LOG = System.getLogger(NetworkLoop.class.getName());

    private final io.netty.channel.EventLoop loop;
    private final RuntimeClock clock;

    /**
     * Creates an event loop on the next thread of a group.
     *
     * @param threads the network threads; connections that share state with this loop must run on the same thread
     * @param clock the clock of the loop
     */
    public NetworkLoop(NetworkThreads threads, RuntimeClock clock) {
        this.loop = threads.group().next();
        this.clock = clock;
    }

    @Override
    public RuntimeClock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(() -> runSafely(task));
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        AtomicBoolean cancelled = new AtomicBoolean();
        Runnable afterRead = () -> {
            if (!cancelled.get()) {
                runSafely(task);
            }
        };
        var due = loop.schedule(() -> runAfterRead(loop, afterRead), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> {
            cancelled.set(true);
            due.cancel(false);
        };
    }

    /**
     * Runs a task after the next read of a network thread. Netty may run a due timer before it reads what has arrived
     * meanwhile, but a timer without a delay that the thread schedules itself runs after the next read.
     *
     * @param executor the executor of the network thread, on which this method is called
     * @param task the task
     */
    static void runAfterRead(EventExecutor executor, Runnable task) {
        executor.schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // A failing task must not affect the other requests of the node. A timer's error would not be logged.
            LOG.log(Logger.Level.ERROR, LogLine.of("loop_task_failed").toString(), e);
        }
    }
}
