package org.parsleydrift.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.parsleydrift.placement.PromptCacheIndex;

/** The prompts that were sent to each runner, and how much of a prompt its runner usually has to compute. */
final class PromptPlacements {
    /** Initial average of uncached prompt tokens per request. */
    private static final double INITIAL_UNCACHED_TOKENS = 500;
    /** Weight of the latest placement in the moving average of uncached prompt tokens. */
    private static final double AVERAGE_WEIGHT = 0.05;

    private final PromptCacheIndex cache = new PromptCacheIndex();
    private final Map<String, Double> averageUncached = new HashMap<>();

    /** Returns the average number of uncached prompt tokens per request of a service; 0 without a prompt. */
    double typicalUncached(QueuedRequest request) {
        return request.prompt().isEmpty()
                ? 0
                : averageUncached.getOrDefault(request.service(), INITIAL_UNCACHED_TOKENS);
    }

    /** Returns the tokens of the request's prompt that a runner has not cached; 0 without a prompt. */
    int uncachedTokens(String incarnation, QueuedRequest request, long nowNanos) {
        return cache.uncachedTokens(incarnation, request.prompt(), request.reportedParts(), nowNanos);
    }

    /** Records that a request was sent to a runner. */
    void recordSent(String incarnation, QueuedRequest request, int uncachedTokens, long nowNanos) {
        if (!request.prompt().isEmpty()) {
            double average = typicalUncached(request);
            cache.recordSent(incarnation, request.prompt(), nowNanos);
            double updated = average + AVERAGE_WEIGHT * (uncachedTokens - average);
            averageUncached.put(request.service(), Math.max(1, updated));
        }
    }

    /** Drops what was sent to other runners than the given ones. */
    void retainRunners(Set<String> incarnations) {
        cache.retainRunners(incarnations);
    }
}
