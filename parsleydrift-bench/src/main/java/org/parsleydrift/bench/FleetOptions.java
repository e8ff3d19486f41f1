package org.parsleydrift.bench;

/**
 * The size of an in-memory fleet.
 *
 * @param seed seed of the random generator
 * @param nodes number of nodes, spread over three availability zones
 * @param engines number of model engines
 * @param tools number of tool services
 */
public record FleetOptions(long seed, int nodes, int engines, int tools) {}
