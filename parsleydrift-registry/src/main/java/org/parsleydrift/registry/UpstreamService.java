package org.parsleydrift.registry;

/**
 * A service of the manifest.
 *
 * @param name its name
 * @param maxConnections connections that each of its runners accepts from all nodes together
 * @param engine whether its runners are model engines
 * @param tokensPerEvent tokens in each event of a stream; 0 where the service is no engine
 */
public record UpstreamService(String name, int maxConnections, boolean engine, int tokensPerEvent) {}
