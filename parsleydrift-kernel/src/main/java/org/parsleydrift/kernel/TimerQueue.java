package org.parsleydrift.kernel;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of timers, ordered by due time and then by insertion. Not thread-safe, confined to one event loop. */
final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::order));
    private long nextOrder;

    Entry add(long dueNanos, Runnable task) {
        Entry entry = new Entry(dueNanos, nextOrder++, task);
        entries.add(entry);
        return entry;
    }

    /** Removes and returns the first entry due at or before the given time, or null if there is none. */
    Entry poll(long nowNanos) {
        Entry head = entries.peek();
        while (head != null && head.cancelled) {
            entries.poll();
            head = entries.peek();
        }
        return head != null && head.dueNanos <= nowNanos ? entries.poll() : null;
    }

    /** Returns the due time of the first entry, or Long.MAX_VALUE if the queue is empty. */
    long nextDueNanos() {
        Entry head = entries.peek();
        return head == null ? Long.MAX_VALUE : head.dueNanos;
    }

    /** A scheduled task. */
    static final class Entry implements Cancellable {
        private final long dueNanos;
        private final long order;
        private final Runnable task;
        private volatile boolean cancelled;

        private Entry(long dueNanos, long order, Runnable task) {
            this.dueNanos = dueNanos;
            this.order = order;
            this.task = task;
        }

        long dueNanos() {
            return dueNanos;
        }

        long order() {
            return order;
        }

        void run() {
            if (!cancelled) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}
