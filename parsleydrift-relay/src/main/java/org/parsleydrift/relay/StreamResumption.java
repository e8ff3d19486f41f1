package org.parsleydrift.relay;

/**
 * A caller's request to continue an interrupted event stream.
 *
 * @param stream id of the attempt that brought the first event; the empty string if the caller does not name it
 * @param lastEventId id of the last event that the caller has received
 */
record StreamResumption(String stream, String lastEventId) {}
