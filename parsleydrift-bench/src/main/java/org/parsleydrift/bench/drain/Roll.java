package org.parsleydrift.bench.drain;

/**
 * The order in which the nodes are restarted.
 *
 * @param name name in the output
 * @param step number of nodes that get SIGTERM at the same time; 0 for all
 * @param gapMillis time between two steps, ms
 */
record Roll(String name, int step, double gapMillis) {
    /** Time that the restart of a fleet may take, ms. */
    private static final double MAX_MILLIS = 120_000;

    boolean suits(int nodes) {
        return signalMillis(nodes - 1) <= MAX_MILLIS;
    }

    double signalMillis(int node) {
        return step == 0 ? 0 : Math.floorDiv(node, step) * gapMillis;
    }
}
