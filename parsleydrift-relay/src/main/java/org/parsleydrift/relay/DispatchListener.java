package org.parsleydrift.relay;

/** Is told what happens to the requests in the queue of the {@link Dispatcher} and at runners. */
interface DispatchListener {
    /** Ignores everything. */
    DispatchListener NONE = new DispatchListener() {
        @Override
        public void onQueued(QueueEntry entry, long nowNanos) {}

        @Override
        public void onWithdrawn(QueuedRequest request) {}

        @Override
        public void onAssigned(QueuedRequest request, long nowNanos) {}

        @Override
        public void onAttemptEnded(QueuedRequest request, AttemptEnd end, long nowNanos) {}
    };

    /** A request has entered the queue. */
    void onQueued(QueueEntry entry, long nowNanos);

    /** A request has left the queue without being assigned. */
    void onWithdrawn(QueuedRequest request);

    /** A request has left the queue for a runner. */
    void onAssigned(QueuedRequest request, long nowNanos);

    /** A request no longer uses the slot of its runner. */
    void onAttemptEnded(QueuedRequest request, AttemptEnd end, long nowNanos);
}
