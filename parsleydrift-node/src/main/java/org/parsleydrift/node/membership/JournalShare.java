package org.parsleydrift.node.membership;

/**
 * A part of a sealed journal's programs, those whose id hashes to its position, and who takes it in.
 *
 * @param holder the incarnation that takes it in, or has
 * @param adopted true once it is durable in the holder's journal; from then on the holder's own seal, if it comes, leads
 *     on, and this journal is not read for it again
 */
public record JournalShare(String holder, boolean adopted) {}
