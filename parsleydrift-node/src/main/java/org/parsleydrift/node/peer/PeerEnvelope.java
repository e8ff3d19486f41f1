package org.parsleydrift.node.peer;

/**
 * A message with its sender and receiver. A restarted process listens at the same address as a new incarnation and
 * drops messages to the previous one.
 *
 * @param from the sending incarnation
 * @param fromLink the sender's link address
 * @param to the receiving incarnation; empty for any incarnation at the address
 * @param message the message
 */
public record PeerEnvelope(String from, String fromLink, String to, PeerMessage message) {}
