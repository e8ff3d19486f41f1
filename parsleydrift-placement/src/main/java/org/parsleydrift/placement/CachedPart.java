package org.parsleydrift.placement;

/**
 * A part of a prompt that a runner has read.
 *
 * @param runner the life of the runner
 * @param part the part's id
 * @param tokens tokens of it that the runner holds
 */
public record CachedPart(String runner, String part, int tokens) {}
