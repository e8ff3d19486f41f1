package org.parsleydrift.registry;

/**
 * Service of the manifest.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections to each of its runners, over all nodes together
 * @param engine whether its runners are model engines
 * @param tokensPerEvent tokens in each event of a stream; 0 if the service is no engine
 */
public record UpstreamService(String name, int maxConnections, boolean engine, int tokensPerEvent) {}
