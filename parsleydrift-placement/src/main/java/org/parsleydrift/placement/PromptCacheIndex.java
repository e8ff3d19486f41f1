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
    /** Time after its last use at which a part is assumed to be evicted by the runner, ns. */
    private static final long KEPT_NANOS = 6_000_000_000L;

    private static final int MOST_PARTS = 1024;

    private final Map<String, Map<String, Sent>> byRunner = new HashMap<>();

    private record Sent(int tokens, long atNanos) {}

    /**
     * Records that a prompt was sent to a runner, which then caches all of its parts.
     *
     * @param runner id of the runner's incarnation
     * @param prompt parts of the prompt in order
     * @param nowNanos monotonic time, ns
     */
    public void recordSent(String runner, List<PromptPart> prompt, long nowNanos) {
        Map<String, Sent> parts = byRunner.computeIfAbsent(runner, any -> new RecentParts());
        prompt.forEach(each -> parts.put(each.id(), new Sent(each.tokens(), nowNanos)));
    }

    /**
     * Removes the entries of runners that are gone.
     *
     * @param lives ids of the incarnations to retain
     */
    public void retainRunners(Set<String> lives) {
        byRunner.keySet().retainAll(lives);
    }

    /**
     * Returns the number of tokens of a prompt that a runner has not cached. A runner that has cached a part is assumed
     * to have cached all parts before it.
     *
     * @param runner id of the runner's incarnation
     * @param prompt parts of the prompt in order
     * @param heard cached parts that the store VMs have reported, of any runner
     * @param nowNanos monotonic time, ns
     * @return uncached tokens, from 0 to the length of the prompt
     */
    public int uncachedTokens(String runner, List<PromptPart> prompt, List<CachedPart> heard, long nowNanos) {
        Map<String, Sent> parts = byRunner.getOrDefault(runner, Map.of());
        int total = prompt.stream().mapToInt(PromptPart::tokens).sum();
        int after = 0;
        for (PromptPart part : prompt.reversed()) {
            int held = Math.max(own(parts.get(part.id()), nowNanos), heard(runner, part, heard));
            if (held > 0) {
                return after + Math.max(0, part.tokens() - held);
            }
            after += part.tokens();
        }
        return total;
    }

    private static int own(Sent sent, long nowNanos) {
        return sent != null && nowNanos - sent.atNanos() < KEPT_NANOS ? sent.tokens() : 0;
    }

    private static int heard(String runner, PromptPart part, List<CachedPart> heard) {
        return heard.stream()
                .filter(each -> each.part().equals(part.id()) && each.runner().equals(runner))
                .mapToInt(CachedPart::tokens)
                .max()
                .orElse(0);
    }

    private static final class RecentParts extends LinkedHashMap<String, Sent> {
        private static final long serialVersionUID = 1L;

        private RecentParts() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sent> eldest) {
            return size() > MOST_PARTS;
        }
    }
}
