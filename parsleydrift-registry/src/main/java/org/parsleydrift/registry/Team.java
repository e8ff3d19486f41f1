package org.parsleydrift.registry;

import java.util.OptionalInt;

/**
 * Team of the manifest.
 *
 * @param name name of the team, forwarded to runners
 * @param priority priority of its requests, overriding that of their routes; 0 is the highest; empty to use the route's
 * @param quota limit on the requests of the team
 */
public record Team(String name, OptionalInt priority, Quota quota) {}
