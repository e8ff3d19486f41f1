package org.parsleydrift.relay;

import java.util.Comparator;
import java.util.List;

/** Order in which queued requests are assigned to runners, and the runners that each of them may use. */
interface DispatchPolicy {
    /** Programs in progress first, then by priority and arrival; no limit by rank. */
    DispatchPolicy DEFAULT = new DispatchPolicy() {
        private static final Comparator<QueueEntry> ORDER = Comparator.<QueueEntry, Boolean>comparing(
                        each -> !each.request().isInProgress())
                .thenComparingInt(each -> each.request().priority())
                .thenComparingLong(QueueEntry::arrival);

        @Override
        public List<QueueEntry> order(List<QueueEntry> queue) {
            return queue.stream().sorted(ORDER).toList();
        }

        @Override
        public SlotLimit slotLimit(QueuedRequest request) {
            return (runnerSlots, usualLimit) -> usualLimit;
        }
    };

    /** Returns the entries of the queue in order of assignment, in a new list. */
    List<QueueEntry> order(List<QueueEntry> queue);

    /** Returns the limit for the runners of a request, as of now. */
    SlotLimit slotLimit(QueuedRequest request);
}
