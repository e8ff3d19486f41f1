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
public record StreamSoakOptions(long seed, int entries, int runners, int callers, Duration time) {}
