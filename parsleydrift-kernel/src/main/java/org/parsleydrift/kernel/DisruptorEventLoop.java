package org.parsleydrift.kernel;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** An event loop on a Disruptor ring buffer with multiple producers and one consumer thread, which also runs timers. */
public final class DisruptorEventLoop implements EventLoop, AutoCloseable {
    private static final Logger LOG = System.getLogger(DisruptorEventLoop.class.getName());
    private static final int RING_SIZE = 1 << 16;
    private static final long TIMER_RESOLUTION_MILLIS = 2;
    private static final long CLOSE_TIMEOUT_SECONDS = 2;
    private static final long NONE = -1;

    private final RuntimeClock clock;
    private final Disruptor<Slot> disruptor;
    private final TimerQueue timers = new TimerQueue();
    private final ArrayDeque<Runnable> localTasks = new ArrayDeque<>();
    private volatile Thread consumer;
    /** Time up to which the timers are due that run next. */
    private long timersDueNanos;
    /** Sequence of the last task submitted by that time, after which they run; NONE if no timers were found due. */
    private long sequenceBeforeTimers = NONE;

    /**
     * Creates and starts an event loop.
     *
     * @param name the name of the consumer thread
     * @param clock the clock of the loop
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
                new TimeoutBlockingWaitStrategy(TIMER_RESOLUTION_MILLIS, TimeUnit.MILLISECONDS));
        disruptor.handleEventsWith(new Consumer());
        disruptor.start();
    }

    @Override
    public RuntimeClock clock() {
        return clock;
    }

    /**
     * Executes a task on the event loop. A task submitted by the consumer thread goes to a local queue, because waiting
     * for a free slot of the ring buffer would deadlock that thread.
     */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == consumer) {
            localTasks.add(task);
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
            disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOG.log(Logger.Level.WARNING, LogLine.of("loop_close_late").toString());
            disruptor.halt();
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // A failing task must not terminate the event loop and the other programs of the node.
            LOG.log(Logger.Level.ERROR, LogLine.of("loop_task_failed").toString(), e);
        }
    }

    private void runTimersAndLocalTasks(long sequence) {
        runLocalTasks();
        long now = clock.nanos();
        if (sequenceBeforeTimers == NONE && timers.nextDueNanos() <= now) {
            timersDueNanos = now;
            sequenceBeforeTimers = disruptor.getCursor();
        }
        if (sequenceBeforeTimers != NONE && sequence >= sequenceBeforeTimers) {
            sequenceBeforeTimers = NONE;
            for (var due = timers.poll(timersDueNanos); due != null; due = timers.poll(timersDueNanos)) {
                runSafely(due::run);
            }
            runLocalTasks();
        }
    }

    private void runLocalTasks() {
        for (Runnable task = localTasks.poll(); task != null; task = localTasks.poll()) {
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
            runTimersAndLocalTasks(sequence);
        }

        @Override
        public void onTimeout(long sequence) {
            runTimersAndLocalTasks(sequence);
        }
    }
}
