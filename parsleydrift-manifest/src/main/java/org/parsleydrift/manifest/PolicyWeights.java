package org.parsleydrift.manifest;

/**
 * The weights of the placement policy.
 *
 * @param programLatency the weight of the program latency, not negative
 * @param wastedCache the weight of prompt tokens that are prefilled again because of a cache miss, not negative
 */
public record PolicyWeights(double programLatency, double wastedCache) {}
