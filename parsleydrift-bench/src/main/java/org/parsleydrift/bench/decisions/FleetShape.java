package org.parsleydrift.bench.decisions;

/**
 * The size of a modelled fleet.
 *
 * @param name name as given to the {@code --fleet} option
 * @param nodes number of entry nodes, each of which places turns independently
 * @param engines number of engines
 * @param engineParameters performance parameters of each engine
 * @param loadReportMillis interval at which nodes publish their loads to each other, ms
 * @param rateFactor arrival rate relative to that of the small fleet
 */
public record FleetShape(
        String name,
        int nodes,
        int engines,
        EngineParameters engineParameters,
        double loadReportMillis,
        double rateFactor) {
    /**
     * Returns a fleet of a few nodes that exchange loads directly, and a few engines with many slots.
     *
     * @return the shape
     */
    public static FleetShape small() {
        return new FleetShape("small", 7, 6, EngineParameters.standard(), 80, 1);
    }

    /**
     * Returns a fleet of many nodes that exchange loads through hubs, and many engines with few slots.
     *
     * @return the shape
     */
    public static FleetShape large() {
        return new FleetShape("large", 57, 31, EngineParameters.smallBatch(), 240, 2);
    }

    /**
     * Returns a fleet of many nodes and many engines that compute prompts slowly.
     *
     * @return the shape
     */
    public static FleetShape slowPrefill() {
        return new FleetShape("slow-prefill", 66, 32, EngineParameters.slowPrefill(), 240, 2.2);
    }
}
