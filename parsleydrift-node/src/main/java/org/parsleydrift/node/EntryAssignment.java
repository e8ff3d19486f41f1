package org.parsleydrift.node;

import java.util.List;

/**
 * Entry node assigned to a caller.
 *
 * @param address HTTP address of the entry node
 * @param alternates HTTP addresses of fallback nodes, those in other availability zones first
 * @param ttlSeconds time for which the caller may cache the assignment
 * @param generation current manifest generation
 * @param ticket names the journal that owns new programs and the minute of issue; required to start programs
 */
public record EntryAssignment(
        String address, List<String> alternates, int ttlSeconds, long generation, String ticket) {}
