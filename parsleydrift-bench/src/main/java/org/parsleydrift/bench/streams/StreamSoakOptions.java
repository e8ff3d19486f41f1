package org.parsleydrift.bench.streams;

import java.time.Duration;

/**
 * Options of a randomised run.
 *
 * @param seed seed of the random generator
 * @param entries number of entry processes
 * @param runners number of runners at the start
 * @param callers number of callers that stream concurrently
 * @param time duration of the load
 */
public record StreamSoakOptions(long seed, int entries, int runners, int callers, Duration time) {
    /**
     * Creates the options of a run of the usual size.
     *
     * @param seed seed of the random generator
     * @param time duration of the load
     * @return the options
     */
    public static StreamSoakOptions usual(long seed, Duration time) {
        return new StreamSoakOptions(seed, 5, 9, 24, time);
    }
}
