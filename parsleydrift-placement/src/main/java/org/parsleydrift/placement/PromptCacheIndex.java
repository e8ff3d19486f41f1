package org.parsleydrift.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which parts of prompts each runner holds, as far as this node has sent them there. Load pattern: each turn's prompt holds
 * all earlier turns of its line, so a line that moves to another runner is read there from its start; on full engines a
 * third of the time went into such reading. Lines that other nodes have sent are known from the program's grants.
 * Confined to one loop.
 */
public final class PromptCacheIndex {
    /**
     * A part that was not sent for this long is taken as dropped, ns. A line's next turn comes within a second or two, and
     * a runner with room for some fifty lines has read as many others in about five.
     */
    private static final long KEPT_NANOS = 6_000_000_000L;
    /** Parts remembered a runner; some 150 bytes each. */
    private static final int MOST_PARTS = 1024;

    private final Map<String, Map<String, Sent>> byRunner = new HashMap<>();

    private record Sent(int tokens, long atNanos) {}

    /**
     * A prompt goes to a runner, which then holds all of its parts.
     *
     * @param runner the life of the runner
     * @param prompt the parts
     * @param nowNanos the time
     */
    public void recordSent(String runner, List<PromptPart> prompt, long nowNanos) {
        Map<String, Sent> parts = byRunner.computeIfAbsent(runner, any -> new RecentParts());
        prompt.forEach(each -> parts.put(each.id(), new Sent(each.tokens(), nowNanos)));
    }

    /**
     * Forgets runners that are gone.
     *
     * @param lives those that are still known
     */
    public void retainRunners(Set<String> lives) {
        byRunner.keySet().retainAll(lives);
    }

    /**
     * Tokens of a prompt that a runner would have to read. Who holds a part has read all before it.
     *
     * @param runner the life of the runner
     * @param prompt the parts
     * @param heard parts that runners hold by the word of others
     * @param nowNanos the time
     * @return tokens
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
