package org.parsleydrift.registry;

/**
 * A share of a route's requests.
 *
 * @param service the service that gets them
 * @param weight its weight among the route's destinations
 */
public record Destination(String service, int weight) {}
