package org.parsleydrift.manifest;

/**
 * A runner, which is an engine that serves a model.
 *
 * @param address the address of the engine, IPv4 address and port
 * @param zone the availability zone; empty if absent
 * @param slots the maximum number of concurrent turns; 8 if absent
 * @param checksFencing whether the engine rejects requests with an outdated fencing token
 */
public record RunnerSpec(String address, String zone, Integer slots, boolean checksFencing) {
    private static final int DEFAULT_SLOTS = 8;

    /** Replaces absent values by their defaults. */
    public RunnerSpec {
        zone = zone == null ? "" : zone;
        slots = slots == null ? DEFAULT_SLOTS : slots;
    }
}
