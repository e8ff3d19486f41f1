package org.parsleydrift.bench.decisions;

import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;

/**
 * Exchange of counters between the nodes of a fleet with the delays of status frames: in a small fleet from each node
 * to each other one, in a larger one by a hub per zone, which sends the sum of its zone.
 */
final class LoadExchange {
    private static final int MAX_FULL_MESH_NODES = 17;
    private static final int ZONES = 3;
    private static final double DIRECT_PERIOD_MILLIS = 80;
    private static final double HUB_PERIOD_MILLIS = 160;

    private final VirtualTime time;
    private final int[][] sent;
    private final int[][] contained;
    private final int[] total;
    private final double endMillis;

    /**
     * Starts the exchange.
     *
     * @param time virtual time
     * @param nodes number of nodes
     * @param width number of counters per node
     * @param counters returns the present counters of a node
     * @param updated called after nodes have received new totals
     * @param random source of the phases
     * @param endMillis time until which counters are exchanged, ms
     */
    LoadExchange(
            VirtualTime time,
            int nodes,
            int width,
            IntFunction<int[]> counters,
            Runnable updated,
            RandomGenerator random,
            double endMillis) {
        this.time = time;
        this.sent = new int[nodes][width];
        this.contained = new int[nodes][width];
        this.total = new int[width];
        this.endMillis = endMillis;
        boolean direct = nodes <= MAX_FULL_MESH_NODES;
        double period = direct ? DIRECT_PERIOD_MILLIS : HUB_PERIOD_MILLIS;
        for (int node = 0; node < nodes; node++) {
            int sender = node;
            repeat(random.nextDouble() * period, period, () -> {
                sent[sender] = Arrays.copyOf(counters.apply(sender), width);
                if (direct) {
                    publish(sender);
                    updated.run();
                }
            });
        }
        for (int zone = 0; zone < ZONES && !direct; zone++) {
            int first = zone;
            repeat(random.nextDouble() * period, period, () -> {
                for (int node = first; node < nodes; node += ZONES) {
                    publish(node);
                }
                updated.run();
            });
        }
    }

    /** Returns a counter summed over all nodes but one, as that node sees it. */
    int others(int node, int counter) {
        return total[counter] - contained[node][counter];
    }

    private void publish(int node) {
        for (int i = 0; i < total.length; i++) {
            total[i] += sent[node][i] - contained[node][i];
        }
        contained[node] = sent[node];
    }

    private void repeat(double delayMillis, double periodMillis, Runnable task) {
        time.schedule(delayMillis, () -> {
            task.run();
            if (time.millis() < endMillis) {
                repeat(periodMillis, periodMillis, task);
            }
        });
    }
}
