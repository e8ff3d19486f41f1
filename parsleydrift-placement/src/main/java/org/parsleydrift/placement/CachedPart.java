package org.parsleydrift.placement;

/**
 * A prompt part in the cache of a runner.
 *
 * @param runner id of the runner's incarnation
 * @param part id of the prompt part
 * @param tokens number of its tokens that are cached
 */
public record CachedPart(String runner, String part, int tokens) {}
