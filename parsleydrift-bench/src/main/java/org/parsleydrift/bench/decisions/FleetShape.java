package org.parsleydrift.bench.decisions;

/**
 * The size of a modelled fleet.
 *
 * @param name its name
 * @param nodes entry nodes, each of which places by itself
 * @param engines model engines
 * @param figures what each engine can do
 * @param loadReportMillis period in which nodes learn each other's loads, ms; until then they see what was told last
 * @param rateFactor usual programs a second, in multiples of those of the small fleet
 */
public record FleetShape(
        String name, int nodes, int engines, EngineParameters figures, double loadReportMillis, double rateFactor) {
    /**
     * A few nodes that tell each other directly, before a few large engines.
     *
     * @return the shape
     */
    public static FleetShape small() {
        return new FleetShape("small", 7, 6, EngineParameters.standard(), 80, 1);
    }

    /**
     * Many nodes whose loads go by way of hubs, before many engines with few slots: as many slots a node as above, and
     * views three times as old.
     *
     * @return the shape
     */
    public static FleetShape large() {
        return new FleetShape("large", 57, 31, EngineParameters.smallBatch(), 240, 2);
    }
}
