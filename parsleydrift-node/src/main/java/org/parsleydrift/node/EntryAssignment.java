package org.parsleydrift.node;

import java.util.List;

/**
 * Which address a caller should use, and for how long.
 *
 * @param address the node to connect to
 * @param alternates nodes to use if it does not answer, other availability zones first
 * @param ttlSeconds how long to keep this
 * @param generation the manifest generation in force
 * @param ticket names the journal that new work belongs to
 */
public record EntryAssignment(
        String address, List<String> alternates, int ttlSeconds, long generation, String ticket) {}
