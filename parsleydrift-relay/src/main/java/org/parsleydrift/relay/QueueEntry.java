package org.parsleydrift.relay;

/**
 * A request in the queue of the {@link Dispatcher}.
 *
 * @param request the request
 * @param arrival ascending number of the entry at this node
 */
record QueueEntry(QueuedRequest request, long arrival) {}
