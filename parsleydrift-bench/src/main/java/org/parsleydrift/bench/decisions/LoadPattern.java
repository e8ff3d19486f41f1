package org.parsleydrift.bench.decisions;

/**
 * What comes upon the engines.
 *
 * @param name its name
 * @param programsPerSecond the usual rate
 * @param burstFactor by how much the rate grows from 5 s on
 * @param burstSeconds for how long, s
 * @param slowEngines engines that turn slow for the time of the burst
 * @param slowFactor how many times slower
 */
public record LoadPattern(
        String name,
        double programsPerSecond,
        double burstFactor,
        double burstSeconds,
        int slowEngines,
        double slowFactor) {
    static final double BURST_FROM_SECONDS = 5;

    double rateAt(double seconds) {
        boolean burst = seconds >= BURST_FROM_SECONDS && seconds < BURST_FROM_SECONDS + burstSeconds;
        return burst ? programsPerSecond * burstFactor : programsPerSecond;
    }

    double slowdownAt(int engine, double millis) {
        double seconds = millis / 1000;
        boolean slow =
                engine < slowEngines && seconds >= BURST_FROM_SECONDS && seconds < BURST_FROM_SECONDS + burstSeconds;
        return slow ? slowFactor : 1;
    }
}
