package org.parsleydrift.bench.decisions;

/**
 * What a model engine can do.
 *
 * @param slots requests in a batch
 * @param stepMillis time of a step of an empty batch, ms; each step makes a token of each request
 * @param stepMillisPerRequest what each request adds to a step, ms
 * @param stepMillisPerThousandTokens what each thousand tokens of context add to a step, ms
 * @param prefillTokensPerMilli prompt tokens that are read in a ms, while all others in the batch wait
 * @param prefillChunkTokens prompt tokens that are read in one step at most
 * @param cacheTokens tokens that fit into its memory
 */
public record EngineParameters(
        int slots,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerThousandTokens,
        double prefillTokensPerMilli,
        int prefillChunkTokens,
        int cacheTokens) {
    /**
     * A mid-sized engine: a large model on two accelerators, with a batch of sixteen.
     *
     * @return its figures
     */
    public static EngineParameters standard() {
        return new EngineParameters(16, 2.3, 0.006, 0.008, 83, 2048, 134_000);
    }

    /**
     * The same with a batch of six, as a larger model leaves room for.
     *
     * @return its figures
     */
    public static EngineParameters smallBatch() {
        return new EngineParameters(6, 2.3, 0.006, 0.008, 83, 2048, 54_000);
    }
}
