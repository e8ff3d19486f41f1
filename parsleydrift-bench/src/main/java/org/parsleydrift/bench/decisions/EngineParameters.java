package org.parsleydrift.bench.decisions;

/**
 * Performance parameters of a modelled engine.
 *
 * @param slots maximum batch size, requests
 * @param stepMillis base duration of a step, ms; a step generates one token per request
 * @param stepMillisPerRequest additional step duration per request in the batch, ms
 * @param stepMillisPerThousandTokens additional step duration per 1000 tokens of context, ms
 * @param prefillTokensPerMilli prefill throughput, tokens per ms; prefill delays the whole batch
 * @param prefillChunkTokens maximum number of prompt tokens processed in a step
 * @param cacheTokens capacity for running requests and cached parts, tokens
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
     * Returns the parameters of a mid-sized engine: a large model on two accelerators, with 16 slots.
     *
     * @return the parameters
     */
    public static EngineParameters standard() {
        return new EngineParameters(16, 2.3, 0.006, 0.008, 83, 2048, 134_000);
    }

    /**
     * Returns the parameters of the same engine with a larger model, which leaves memory for 6 slots.
     *
     * @return the parameters
     */
    public static EngineParameters smallBatch() {
        return new EngineParameters(6, 2.3, 0.006, 0.008, 83, 2048, 54_000);
    }

    /**
     * Returns the parameters of an engine of 8 slots that computes prompts slowly.
     *
     * @return the parameters
     */
    public static EngineParameters slowPrefill() {
        return new EngineParameters(8, 2.3, 0.006, 0.008, 61, 2048, 72_000);
    }
}
