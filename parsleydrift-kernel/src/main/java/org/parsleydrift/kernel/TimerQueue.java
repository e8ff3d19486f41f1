package org.parsleydrift.kernel;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers in order of their due time; equal times keep the order of entry. Confined to one loop. */
final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::order));
    private long nextOrder;

    Entry add(long dueNanos, Runnable task) {
        Entry entry = new Entry(dueNanos, nextOrder++, task);
        entries.add(entry);
        return entry;
    }

    /** Takes the next entry due at or before the given time, or null. */
    Entry poll(long nowNanos) {
        Entry head = entries.peek();
        while (head != null && head.cancelled) {
            entries.poll();
            head = entries.peek();
        }
        return head != null && head.dueNanos <= nowNanos ? entries.poll() : null;
    }

    /** The due time of the earliest entry, or Long.MAX_VALUE. */
    long nextDueNanos() {
        Entry head = entries.peek();
        return head == null ? Long.MAX_VALUE : head.dueNanos;
    }

    /** A task and when it is due. */
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
