package org.parsleydrift.wire;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * An event loop on a network thread. Decisions run where the bytes arrive: on a VM with less than one core a hand-over
 * to a second thread costs two wake-ups for each message and gains nothing.
 */
public final class NetworkLoop implements EventLoop {
    private static final Logger LOG = System.getLogger(NetworkLoop.class.getName());

    private final io.netty.channel.EventLoop loop;
    private final RuntimeClock clock;

    /**
     * Takes one of the threads.
     *
     * @param threads the network threads; just one for all that shares state with this loop
     * @param clock the clock
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
        if (loop.inEventLoop()) {
            runSafely(task);
        } else {
            loop.execute(() -> runSafely(task));
        }
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        var timer = loop.schedule(() -> runSafely(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError fault) {
            // One faulty task must not end the loop and with it every request of the node; the line is the alarm.
            LOG.log(Logger.Level.ERROR, LogLine.of("loop_task_failed").toString(), fault);
        }
    }
}
