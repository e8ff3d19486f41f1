package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.Test;

/** How long a request waits for the runner that holds its prompt, and how long at all. */
public class QueueWaitTest {
    private final List<String> seen = new ArrayList<>();

    /**
     * Symptom: a request is refused for want of room though runners have places. Events: the runner that holds its prompt is
     * stuck, and nothing else happens at the node. Cause: nobody looked again before the wait was over.
     */
    @Test
    public void nearItsEndAnyRunnerWillDo() {
        seen.clear();
        ManualScheduler time = new ManualScheduler();
        QueueWait wait = new QueueWait(time.newLoop(), () -> seen.add("again"));
        wait.begin(Duration.ofMillis(900), () -> seen.add("over"));
        time.advance(Duration.ofMillis(700));
        assertFalse(wait.nearlyOver());
        time.advance(Duration.ofMillis(50));
        assertTrue(wait.nearlyOver());
        assertEquals(seen, List.of("again"));
        time.advance(Duration.ofMillis(200));
        assertEquals(seen, List.of("again", "over"));
    }

    @Test
    public void aWaitThatEndedIsQuietAndMayBeginAnew() {
        seen.clear();
        ManualScheduler time = new ManualScheduler();
        QueueWait wait = new QueueWait(time.newLoop(), () -> seen.add("again"));
        wait.begin(Duration.ofMillis(900), () -> seen.add("over"));
        time.advance(Duration.ofMillis(800));
        wait.end();
        time.advance(Duration.ofSeconds(2));
        assertEquals(seen, List.of("again"));
        wait.begin(Duration.ofMillis(100), () -> seen.add("over"));
        assertFalse(wait.nearlyOver());
    }
}
