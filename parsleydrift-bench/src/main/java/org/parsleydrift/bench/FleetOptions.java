package org.parsleydrift.bench;

/**
 * The size of an in-memory fleet.
 *
 * @param seed seed of all chance
 * @param nodes nodes, in three availability zones
 * @param engines model engines
 * @param tools tool services
 */
public record FleetOptions(long seed, int nodes, int engines, int tools) {}
