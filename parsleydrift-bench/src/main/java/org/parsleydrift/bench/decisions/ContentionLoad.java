package org.parsleydrift.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Arrivals of programs of two ranks at engines of one service. The lower rank bursts first, then the urgent one.
 *
 * @param name name in the output
 * @param engines number of engines
 * @param parameters performance of each engine
 * @param urgentPerSecond programs of rank 0 per second outside the bursts
 * @param lowerPerSecond programs of rank 1 per second outside the bursts
 */
record ContentionLoad(
        String name, int engines, EngineParameters parameters, double urgentPerSecond, double lowerPerSecond) {
    private static final double LOWER_BURST_FACTOR = 2.5;
    private static final double URGENT_BURST_FACTOR = 1.9;
    private static final double LOWER_BURST_FROM_SECONDS = 4;
    private static final double URGENT_BURST_FROM_SECONDS = 12;
    private static final double BURST_SECONDS = 6.5;

    /**
     * Returns the load of the first deployment under contention.
     *
     * @param name name in the output
     * @param factor factor of the rates of both ranks
     * @return the load
     */
    static ContentionLoad of(String name, double factor) {
        return new ContentionLoad(
                name, 27, new EngineParameters(6, 2.27, 0.006, 0.008, 168, 2048, 55_653), 30.7 * factor, 16.5 * factor);
    }

    List<RankedProgram> programs(double seconds, RandomGenerator random) {
        List<RankedProgram> programs = new ArrayList<>();
        for (int rank = 0; rank < RankedProgram.RANKS; rank++) {
            double at = 0;
            while (at < seconds) {
                at += -Math.log(1 - random.nextDouble()) / rateAt(rank, at);
                programs.add(RankedProgram.generate(
                        "p" + rank + "-" + programs.size(), rank, at * 1000, random, parameters));
            }
        }
        return programs;
    }

    private double rateAt(int rank, double seconds) {
        double from = rank == 0 ? URGENT_BURST_FROM_SECONDS : LOWER_BURST_FROM_SECONDS;
        boolean burst = seconds >= from && seconds < from + BURST_SECONDS;
        double factor = rank == 0 ? URGENT_BURST_FACTOR : LOWER_BURST_FACTOR;
        return (rank == 0 ? urgentPerSecond : lowerPerSecond) * (burst ? factor : 1);
    }
}
