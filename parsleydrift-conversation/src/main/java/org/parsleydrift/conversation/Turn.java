package org.parsleydrift.conversation;

/**
 * What was said in one turn. Immutable once written.
 *
 * @param id the id of the request that made it
 * @param previous the turn that it goes on from; empty at the start of a chain
 * @param input what the caller sent
 * @param output the data of each event, each followed by a line feed
 */
public record Turn(String id, String previous, byte[] input, byte[] output) {}
