package org.parsleydrift.bench.drain;

import java.util.Arrays;
import java.util.OptionalDouble;

/** The latencies of the last requests of one kind that a node has served. */
final class LatencyHistory {
    private static final int SIZE = 64;
    private static final int MIN_COUNT = 8;

    private final double[] millis = new double[SIZE];
    private long count;

    void add(double latencyMillis) {
        millis[(int) (count++ % SIZE)] = latencyMillis;
    }

    /** Returns a quantile; empty while too few latencies are known. */
    OptionalDouble quantile(double share) {
        if (count < MIN_COUNT) {
            return OptionalDouble.empty();
        }
        double[] sorted = Arrays.copyOf(millis, (int) Math.min(count, SIZE));
        Arrays.sort(sorted);
        return OptionalDouble.of(sorted[(int) Math.ceil(share * sorted.length) - 1]);
    }
}
