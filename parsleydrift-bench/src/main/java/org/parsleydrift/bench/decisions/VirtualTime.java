package org.parsleydrift.bench.decisions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The virtual clock and event queue of a run. */
public final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));
    private double millis;
    private long order;

    /** Creates a clock at zero without events. */
    public VirtualTime() {}

    private record Event(double atMillis, long order, Runnable task) {}

    /**
     * Returns the time since the start of the run.
     *
     * @return the time, ms
     */
    public double millis() {
        return millis;
    }

    long nanos() {
        return (long) (millis * 1_000_000);
    }

    /**
     * Schedules a task; tasks of the same time run in the order of their scheduling.
     *
     * @param delayMillis time until the task runs, ms
     * @param task what runs then
     */
    public void schedule(double delayMillis, Runnable task) {
        events.add(new Event(millis + delayMillis, order++, task));
    }

    /**
     * Runs events up to and including the end time.
     *
     * @param endMillis end time, ms
     */
    public void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event next = events.poll();
            millis = next.atMillis();
            next.task().run();
        }
    }
}
