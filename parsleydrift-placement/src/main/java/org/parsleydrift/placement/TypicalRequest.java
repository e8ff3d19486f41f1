package org.parsleydrift.placement;

/**
 * The typical work of a request of a service, in uncached prompt tokens that a typical runner computes in the same time.
 *
 * @param uncachedTokens average number of uncached prompt tokens; 0 for a service without prompts
 * @param generationTokens time of generating the response, in tokens; 0 if unknown
 */
public record TypicalRequest(double uncachedTokens, double generationTokens) {
    boolean hasPrompt() {
        return uncachedTokens > 0;
    }
}
