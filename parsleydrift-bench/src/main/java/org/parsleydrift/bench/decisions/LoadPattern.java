package org.parsleydrift.bench.decisions;

/**
 * A load pattern with an optional burst and slow engines.
 *
 * @param name name as given to the {@code --pattern} option
 * @param programsPerSecond arrival rate outside the burst, programs per second
 * @param burstFactor factor of the arrival rate during the burst, which begins at 5 s
 * @param burstSeconds duration of the burst, s
 * @param slowEngines number of engines that are slow during the burst
 * @param slowFactor factor of the step duration of slow engines
 * @param engineSpeeds other differences between the engines
 */
public record LoadPattern(
        String name,
        double programsPerSecond,
        double burstFactor,
        double burstSeconds,
        int slowEngines,
        double slowFactor,
        EngineSpeeds engineSpeeds) {
    /**
     * Creates a pattern for engines of the same speed.
     *
     * @param name name as given to the {@code --pattern} option
     * @param programsPerSecond arrival rate outside the burst, programs per second
     * @param burstFactor factor of the arrival rate during the burst, which begins at 5 s
     * @param burstSeconds duration of the burst, s
     * @param slowEngines number of engines that are slow during the burst
     * @param slowFactor factor of the step duration of slow engines
     */
    public LoadPattern(
            String name,
            double programsPerSecond,
            double burstFactor,
            double burstSeconds,
            int slowEngines,
            double slowFactor) {
        this(name, programsPerSecond, burstFactor, burstSeconds, slowEngines, slowFactor, EngineSpeeds.ALIKE);
    }

    static final double BURST_FROM_SECONDS = 5;

    double rateAt(double seconds) {
        boolean burst = seconds >= BURST_FROM_SECONDS && seconds < BURST_FROM_SECONDS + burstSeconds;
        return burst ? programsPerSecond * burstFactor : programsPerSecond;
    }

    double slowdownAt(int engine, double millis) {
        double seconds = millis / 1000;
        boolean slow =
                engine < slowEngines && seconds >= BURST_FROM_SECONDS && seconds < BURST_FROM_SECONDS + burstSeconds;
        return (slow ? slowFactor : 1) * engineSpeeds.slowdownAt(engine, millis);
    }
}
