package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Estimates of the prompt tokens that a runner has not cached. */
public class PromptCacheIndexTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<PromptPart> first = List.of(new PromptPart("shared", 500), new PromptPart("line", 200));
    private final List<PromptPart> next = List.of(new PromptPart("shared", 500), new PromptPart("line", 700));

    @Test
    public void sentPartsAreCached() {
        PromptCacheIndex index = new PromptCacheIndex();
        assertEquals(index.uncachedTokens("r1", first, List.of(), 0), 700);
        index.recordSent("r1", first, 0);
        assertEquals(index.uncachedTokens("r1", next, List.of(), SECOND), 500);
        assertEquals(index.uncachedTokens("r2", next, List.of(), SECOND), 1200);
    }

    /** The previous turn went through another node, and the store VMs report what its runner has cached. */
    @Test
    public void reportedPartsAreCached() {
        List<CachedPart> reported = List.of(new CachedPart("r1", "line", 640), new CachedPart("r2", "line", 200));
        PromptCacheIndex index = new PromptCacheIndex();
        assertEquals(index.uncachedTokens("r1", next, reported, 0), 60);
        assertEquals(index.uncachedTokens("r2", next, reported, 0), 500);
        assertEquals(index.uncachedTokens("r3", next, reported, 0), 1200);
    }

    /** A sub-agent's prompt begins with its parent's, which the parent's runner has cached. */
    @Test
    public void subAgentReusesParentPrompt() {
        List<PromptPart> child =
                List.of(new PromptPart("shared", 500), new PromptPart("line", 640), new PromptPart("child", 300));
        PromptCacheIndex index = new PromptCacheIndex();
        assertEquals(index.uncachedTokens("r1", child, List.of(new CachedPart("r1", "line", 700)), 0), 300);
    }

    /** Parts sent long ago count as evicted, and a restarted runner has an empty cache. */
    @Test
    public void expiredPartsAndFormerIncarnationsAreUncached() {
        PromptCacheIndex index = new PromptCacheIndex();
        index.recordSent("r1@100", first, 0);
        assertEquals(index.uncachedTokens("r1@100", first, List.of(), 60 * SECOND), 700);
        assertEquals(index.uncachedTokens("r1@200", first, List.of(), SECOND), 700);
        index.retainRunners(Set.of("r1@200"));
        assertEquals(index.uncachedTokens("r1@100", first, List.of(), SECOND), 700);
    }
}
