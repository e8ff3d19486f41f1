package org.parsleydrift.bench.decisions;

/**
 * Completion times and prefill work of a run.
 *
 * @param programs number of programs started
 * @param inTime programs that completed within their target time
 * @param late programs that completed within twice their target time, excluding those in time
 * @param promptTokens total tokens of all prompts
 * @param prefillTokens prompt tokens that were not cached
 * @param turnMedianMillis median turn latency including waits, ms
 * @param turnP99Millis 99th percentile of the turn latency, ms
 */
public record RunResult(
        int programs,
        int inTime,
        int late,
        long promptTokens,
        long prefillTokens,
        double turnMedianMillis,
        double turnP99Millis) {
    /**
     * Returns the mean score of the programs: 1 if completed in time, 0.5 if late, otherwise 0.
     *
     * @return a value from 0 to 1; 0 without programs
     */
    public double worth() {
        return programs == 0 ? 0 : (inTime + 0.5 * late) / programs;
    }

    /**
     * Returns the share of prompt tokens that were not cached.
     *
     * @return a value from 0 to 1; 0 without prompts
     */
    public double readShare() {
        return promptTokens == 0 ? 0 : (double) prefillTokens / promptTokens;
    }
}
