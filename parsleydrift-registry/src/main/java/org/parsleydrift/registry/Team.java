package org.parsleydrift.registry;

import java.util.OptionalInt;

/**
 * A team of the manifest.
 *
 * @param name its name, which runners are told
 * @param priority the rank of its requests, which goes before that of their routes; 0 is the highest
 * @param quota how many of its requests may run
 */
public record Team(String name, OptionalInt priority, Quota quota) {}
