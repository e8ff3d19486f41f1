package org.parsleydrift.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.Test;

/** Timeouts of a request's wait for a runner. */
public class QueueWaitTest {
    private final List<String> calls = new ArrayList<>();

    private static AdmissionDecision.Wait waitOf(long millis) {
        Duration maxWait = Duration.ofMillis(millis);
        return new AdmissionDecision.Wait(maxWait, AdmissionPolicy.defaultCacheWait(maxWait));
    }

    /** The placement must be retried near the end of the wait, also if no other event occurs at the node. */
    @Test
    public void placementIsRetriedNearTimeout() {
        calls.clear();
        ManualScheduler time = new ManualScheduler();
        QueueWait wait = new QueueWait(time.newLoop(), () -> calls.add("again"));
        wait.start(waitOf(900), () -> calls.add("over"));
        time.advance(Duration.ofMillis(700));
        assertFalse(wait.acceptsAnyRunner());
        time.advance(Duration.ofMillis(50));
        assertTrue(wait.acceptsAnyRunner());
        assertEquals(calls, List.of("again"));
        time.advance(Duration.ofMillis(200));
        assertEquals(calls, List.of("again", "over"));
    }

    @Test
    public void cancelledWaitRunsNothingAndCanRestart() {
        calls.clear();
        ManualScheduler time = new ManualScheduler();
        QueueWait wait = new QueueWait(time.newLoop(), () -> calls.add("again"));
        wait.start(waitOf(900), () -> calls.add("over"));
        time.advance(Duration.ofMillis(800));
        wait.cancel();
        time.advance(Duration.ofSeconds(2));
        assertEquals(calls, List.of("again"));
        wait.start(waitOf(100), () -> calls.add("over"));
        assertFalse(wait.acceptsAnyRunner());
    }
}
