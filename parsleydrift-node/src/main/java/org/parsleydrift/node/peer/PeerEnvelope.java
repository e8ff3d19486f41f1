package org.parsleydrift.node.peer;

/**
 * A message with both ends. A process that was restarted listens at the same address under another name; what was meant
 * for the former one is dropped.
 *
 * @param from the sending incarnation
 * @param fromLink the sender's link address
 * @param to the incarnation meant; empty for whoever listens there
 * @param message the message
 */
public record PeerEnvelope(String from, String fromLink, String to, PeerMessage message) {}
