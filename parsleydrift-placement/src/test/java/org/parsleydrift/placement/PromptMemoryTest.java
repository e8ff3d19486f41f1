package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** What a runner would have to read of a prompt. */
public class PromptMemoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<PromptPart> first = List.of(new PromptPart("shared", 500), new PromptPart("line", 200));
    private final List<PromptPart> next = List.of(new PromptPart("shared", 500), new PromptPart("line", 700));

    @Test
    public void whatWasSentThereIsHeld() {
        PromptCacheIndex memory = new PromptCacheIndex();
        assertEquals(memory.uncachedTokens("r1", first, List.of(), 0), 700);
        memory.recordSent("r1", first, 0);
        assertEquals(memory.uncachedTokens("r1", next, List.of(), SECOND), 500);
        assertEquals(memory.uncachedTokens("r2", next, List.of(), SECOND), 1200);
    }

    /** The turn before went through another node; the store VMs say where it ran and how far its line came there. */
    @Test
    public void whatOthersSentIsKnownFromTheGrants() {
        List<CachedPart> heard = List.of(new CachedPart("r1", "line", 640), new CachedPart("r2", "line", 200));
        PromptCacheIndex memory = new PromptCacheIndex();
        assertEquals(memory.uncachedTokens("r1", next, heard, 0), 60);
        assertEquals(memory.uncachedTokens("r2", next, heard, 0), 500);
        assertEquals(memory.uncachedTokens("r3", next, heard, 0), 1200);
    }

    /** A sub-agent's prompt begins with its parent's: it need only read its own part where the parent ran. */
    @Test
    public void aSubAgentFindsItsParentsPrompt() {
        List<PromptPart> child =
                List.of(new PromptPart("shared", 500), new PromptPart("line", 640), new PromptPart("child", 300));
        PromptCacheIndex memory = new PromptCacheIndex();
        assertEquals(memory.uncachedTokens("r1", child, List.of(new CachedPart("r1", "line", 700)), 0), 300);
    }

    /** What was sent long ago has probably given way to other prompts; a restarted runner holds nothing. */
    @Test
    public void oldPartsAndFormerLivesCountNothing() {
        PromptCacheIndex memory = new PromptCacheIndex();
        memory.recordSent("r1@100", first, 0);
        assertEquals(memory.uncachedTokens("r1@100", first, List.of(), 60 * SECOND), 700);
        assertEquals(memory.uncachedTokens("r1@200", first, List.of(), SECOND), 700);
        memory.retainRunners(Set.of("r1@200"));
        assertEquals(memory.uncachedTokens("r1@100", first, List.of(), SECOND), 700);
    }
}
