package org.parsleydrift.bench.decisions;

/**
 * How the programs of one run ended.
 *
 * @param programs all
 * @param inTime ended within their target time
 * @param late ended within twice that
 * @param promptTokens tokens of all prompts
 * @param prefillTokens those that engines had to read
 * @param turnMedianMillis median time of a turn, waits included, ms
 * @param turnP99Millis its 99th percentile, ms
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
     * Worth of the programs: one in time counts whole, a late one half.
     *
     * @return from 0 to 1
     */
    public double worth() {
        return programs == 0 ? 0 : (inTime + 0.5 * late) / programs;
    }

    /**
     * Share of the prompts' tokens that were read.
     *
     * @return from 0 to 1
     */
    public double readShare() {
        return promptTokens == 0 ? 0 : (double) prefillTokens / promptTokens;
    }
}
