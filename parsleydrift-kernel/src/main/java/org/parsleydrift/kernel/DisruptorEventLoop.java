package org.parsleydrift.kernel;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** An event loop on a Disruptor ring: many producers, one consumer thread that also runs the timers. */
public final class DisruptorEventLoop implements EventLoop, AutoCloseable {
    private static final Logger LOG = System.getLogger(DisruptorEventLoop.class.getName());
    private static final int RING_SIZE = 1 << 16;
    private static final long TICK_MILLIS = 2;
    private static final long CLOSE_WAIT_SECONDS = 2;

    private final RuntimeClock clock;
    private final Disruptor<Slot> disruptor;
    private final TimerQueue timers = new TimerQueue();
    private final ArrayDeque<Runnable> local = new ArrayDeque<>();
    private volatile Thread consumer;

    /**
     * Starts a loop.
     *
     * @param name the name of its thread
     * @param clock the clock that it reads
     */
    public DisruptorEventLoop(String name, RuntimeClock clock) {
        this.clock = clock;
        this.disruptor = new Disruptor<>(
                Slot::new,
                RING_SIZE,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                },
                ProducerType.MULTI,
                new TimeoutBlockingWaitStrategy(TICK_MILLIS, TimeUnit.MILLISECONDS));
        disruptor.handleEventsWith(new Consumer());
        disruptor.start();
    }

    @Override
    public RuntimeClock clock() {
        return clock;
    }

    /**
     * Hands a task to the loop. A task handed in on the loop's own thread goes to a local queue: if it waited for a
     * slot in a full ring, the only thread that empties the ring would wait for itself.
     */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == consumer) {
            local.add(task);
        } else {
            disruptor.publishEvent((slot, sequence) -> slot.task = task);
        }
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        long due = clock.nanos() + delay.toNanos();
        if (Thread.currentThread() == consumer) {
            return timers.add(due, task);
        }
        var cancelled = new java.util.concurrent.atomic.AtomicBoolean();
        execute(() -> timers.add(due, () -> {
            if (!cancelled.get()) {
                task.run();
            }
        }));
        return () -> cancelled.set(true);
    }

    @Override
    public void close() {
        try {
            disruptor.shutdown(CLOSE_WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException late) {
            LOG.log(Logger.Level.WARNING, LogLine.of("loop_close_late").toString());
            disruptor.halt();
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError fault) {
            // One faulty task must not end the loop and with it every program of the node; the line is the alarm.
            LOG.log(Logger.Level.ERROR, LogLine.of("loop_task_failed").toString(), fault);
        }
    }

    private void runTimersAndLocal() {
        long now = clock.nanos();
        for (var due = timers.poll(now); due != null; due = timers.poll(now)) {
            runSafely(due::run);
        }
        for (Runnable task = local.poll(); task != null; task = local.poll()) {
            runSafely(task);
        }
    }

    private static final class Slot {
        private Runnable task;
    }

    private final class Consumer implements EventHandler<Slot> {
        @Override
        public void onStart() {
            consumer = Thread.currentThread();
        }

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            Runnable task = slot.task;
            slot.task = null;
            runSafely(task);
            runTimersAndLocal();
        }

        @Override
        public void onTimeout(long sequence) {
            runTimersAndLocal();
        }
    }
}
