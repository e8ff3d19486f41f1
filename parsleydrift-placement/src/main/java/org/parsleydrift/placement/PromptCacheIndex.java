package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates which prompt parts each runner has cached, from the prompts that this node has sent there. A turn's prompt
 * extends that of the turn before it, so a runner that served the earlier turn computes only the new tokens. Parts sent
 * by other nodes are known from the program's grants.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
public final class PromptCacheIndex {
    /**
     * Time after its last use at which a part is assumed to be evicted by the runner, ns. The next turn of a
     * conversation comes within a second or two, and a runner with memory for some fifty conversations has computed as
     * many others in about five seconds.
     */
    private static final long RETENTION_NANOS = 6_000_000_000L;

    private static final int MAX_PARTS_PER_RUNNER = 1024;

    private final Map<String, Map<String, SentPart>> byRunner = new HashMap<>();

    private record SentPart(int tokens, long atNanos) {}

    /**
     * Records that a prompt was sent to a runner, which then caches all of its parts.
     *
     * @param runner id of the runner's incarnation
     * @param prompt parts of the prompt in order
     * @param nowNanos monotonic time, ns
     */
    public void recordSent(String runner, List<PromptPart> prompt, long nowNanos) {
        Map<String, SentPart> parts = byRunner.computeIfAbsent(runner, any -> new LruParts());
        prompt.forEach(each -> parts.put(each.id(), new SentPart(each.tokens(), nowNanos)));
    }

    /**
     * Removes the entries of runners that are gone.
     *
     * @param incarnations ids of the incarnations to retain
     */
    public void retainRunners(Set<String> incarnations) {
        byRunner.keySet().retainAll(incarnations);
    }

    /**
     * Returns the number of tokens of a prompt that a runner has not cached. A runner that has cached a part is assumed
     * to have cached all parts before it.
     *
     * @param runner id of the runner's incarnation
     * @param prompt parts of the prompt in order
     * @param reported cached parts that the store VMs have reported, of any runner
     * @param nowNanos monotonic time, ns
     * @return uncached tokens, from 0 to the length of the prompt
     */
    public int uncachedTokens(String runner, List<PromptPart> prompt, List<CachedPart> reported, long nowNanos) {
        Map<String, SentPart> parts = byRunner.getOrDefault(runner, Map.of());
        int total = prompt.stream().mapToInt(PromptPart::tokens).sum();
        int tokensAfter = 0;
        for (PromptPart part : prompt.reversed()) {
            int cached = Math.max(
                    locallyCachedTokens(parts.get(part.id()), nowNanos), reportedTokens(runner, part, reported));
            if (cached > 0) {
                return tokensAfter + Math.max(0, part.tokens() - cached);
            }
            tokensAfter += part.tokens();
        }
        return total;
    }

    private static int locallyCachedTokens(SentPart sent, long nowNanos) {
        return sent != null && nowNanos - sent.atNanos() < RETENTION_NANOS ? sent.tokens() : 0;
    }

    private static int reportedTokens(String runner, PromptPart part, List<CachedPart> reported) {
        return reported.stream()
                .filter(each -> each.part().equals(part.id()) && each.runner().equals(runner))
                .mapToInt(CachedPart::tokens)
                .max()
                .orElse(0);
    }

    private static final class LruParts extends LinkedHashMap<String, SentPart> {
        private static final long serialVersionUID = 1L;

        private LruParts() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SentPart> eldest) {
            return size() > MAX_PARTS_PER_RUNNER;
        }
    }
}
