package org.parsleydrift.node.membership;

/**
 * Partition of a sealed journal: the programs whose ids hash to its position in the node record, with their new owner.
 *
 * @param holder the incarnation that adopts the share or has adopted it
 * @param adopted true once the share is durable in the holder's journal; the sealed journal is no longer read for it,
 *     and if the holder's journal is sealed as well, its shares determine the next owner
 */
public record JournalShare(String holder, boolean adopted) {}
