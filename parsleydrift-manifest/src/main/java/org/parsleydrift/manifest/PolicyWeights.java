package org.parsleydrift.manifest;

/**
 * What the placement policy weighs (brief, "What we measure").
 *
 * @param programLatency weight of program latency
 * @param wastedCache weight of prompt tokens prefilled again
 */
public record PolicyWeights(double programLatency, double wastedCache) {}
