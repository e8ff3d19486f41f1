package org.parsleydrift.bench.decisions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The virtual clock and event queue of a run. */
final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));
    private double millis;
    private long order;

    private record Event(double atMillis, long order, Runnable task) {}

    double millis() {
        return millis;
    }

    long nanos() {
        return (long) (millis * 1_000_000);
    }

    void schedule(double delayMillis, Runnable task) {
        events.add(new Event(millis + delayMillis, order++, task));
    }

    /** Runs events up to and including the end time. */
    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event next = events.poll();
            millis = next.atMillis();
            next.task().run();
        }
    }
}
