package org.parsleydrift.registry;

/**
 * Weighted target of a route.
 *
 * @param service name of the service that receives the requests
 * @param weight weight relative to the other destinations of the route
 */
public record Destination(String service, int weight) {}
