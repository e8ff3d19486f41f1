package org.parsleydrift.registry;

/**
 * Service of the manifest.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections to each of its runners, over all nodes together
 * @param engine whether its runners are model engines
 * @param tokensPerEvent tokens in each event of a stream; 0 if the service is no engine
 * @param healthPath path of health checks at its runners; the empty string if unknown
 */
public record UpstreamService(String name, int maxConnections, boolean engine, int tokensPerEvent, String healthPath) {}
