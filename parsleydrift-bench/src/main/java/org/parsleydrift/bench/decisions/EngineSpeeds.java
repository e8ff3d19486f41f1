package org.parsleydrift.bench.decisions;

import java.util.List;
import java.util.Random;

/**
 * Differences between the engines of a fleet: lasting ones, and episodes in which single engines are slow.
 *
 * @param speeds speeds relative to the usual one, assigned to the engines in rotation
 * @param episodeFactor factor of the step duration during an episode
 * @param episodesPerSecond rate at which episodes of an engine begin, per second; 0 for none
 * @param episodeMillis duration of an episode, ms
 */
public record EngineSpeeds(List<Double> speeds, double episodeFactor, double episodesPerSecond, double episodeMillis) {
    /** Engines that all have the usual speed at all times. */
    static final EngineSpeeds ALIKE = new EngineSpeeds(List.of(1.0), 1, 0, 0);

    /** Makes a defensive copy of the speeds. */
    public EngineSpeeds {
        speeds = List.copyOf(speeds);
    }

    /** Returns the factor of an engine's step duration at a time; the same for all policies. */
    double slowdownAt(int engine, double millis) {
        return (isEpisode(engine, millis) ? episodeFactor : 1) / speeds.get(engine % speeds.size());
    }

    private boolean isEpisode(int engine, double millis) {
        if (episodesPerSecond <= 0) {
            return false;
        }
        double periodMillis = 1000 / episodesPerSecond;
        long period = (long) (millis / periodMillis);
        // One episode per period, at a random time in it that depends on engine and period only.
        double offset = new Random(31 * period + 7919L * engine).nextDouble() * (periodMillis - episodeMillis);
        double sincePeriod = millis - period * periodMillis;
        return sincePeriod >= offset && sincePeriod < offset + episodeMillis;
    }
}
