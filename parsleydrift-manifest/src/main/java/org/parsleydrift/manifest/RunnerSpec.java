package org.parsleydrift.manifest;

/**
 * A model engine.
 *
 * @param address its address
 * @param zone its availability zone; empty if absent
 * @param slots turns to run at once; 8 if absent
 * @param checksFencing whether it refuses orders that carry an old fencing number
 */
public record RunnerSpec(String address, String zone, Integer slots, boolean checksFencing) {
    private static final int DEFAULT_SLOTS = 8;

    /** Fills in defaults. */
    public RunnerSpec {
        zone = zone == null ? "" : zone;
        slots = slots == null ? DEFAULT_SLOTS : slots;
    }
}
