package org.parsleydrift.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.parsleydrift.kernel.ManualScheduler;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Staleness of the local copy, and detection of outages. */
public class StalenessTrackerTest {
    private ManualScheduler time;
    private StalenessTracker tracker;

    @BeforeMethod
    public void begin() {
        time = new ManualScheduler();
        tracker = new StalenessTracker(time);
    }

    private long nanosAgo(Duration ago) {
        return time.nanos() - ago.toNanos();
    }

    @Test
    public void stalenessCountsFromTheTimeOfTheRequest() {
        time.advance(Duration.ofSeconds(10));
        tracker.recordAnswer(nanosAgo(Duration.ofMillis(300)));
        time.advance(Duration.ofSeconds(1));
        assertEquals(tracker.staleness(), Duration.ofMillis(1300));
        assertEquals(tracker.ownStaleness(), Optional.of(Duration.ofMillis(1300)));
    }

    /** A late answer to an earlier request must not increase the staleness. */
    @Test
    public void answersToEarlierRequestsAreIgnored() {
        time.advance(Duration.ofSeconds(10));
        tracker.recordAnswer(nanosAgo(Duration.ofMillis(100)));
        tracker.recordAnswer(nanosAgo(Duration.ofSeconds(5)));
        assertEquals(tracker.staleness(), Duration.ofMillis(100));
        assertTrue(tracker.hasNoAnswerSince(nanosAgo(Duration.ZERO)));
        assertFalse(tracker.hasNoAnswerSince(nanosAgo(Duration.ofSeconds(5))));
    }

    @Test
    public void ownStalenessExcludesPeers() {
        time.advance(Duration.ofSeconds(10));
        tracker.recordCompleteAt(nanosAgo(Duration.ofMillis(200)));
        assertEquals(tracker.staleness(), Duration.ofMillis(200));
        assertEquals(tracker.ownStaleness(), Optional.empty());
    }

    @Test
    public void outageBeginsOnceAndEndsWhenStalenessIsBelowTheLimit() {
        tracker.recordAnswer(time.nanos());
        time.advance(StalenessTracker.MAX_STALENESS);
        assertFalse(tracker.detectOutage());
        time.advance(Duration.ofMillis(1));
        assertTrue(tracker.detectOutage());
        assertFalse(tracker.detectOutage());
        time.advance(Duration.ofSeconds(5));
        assertFalse(tracker.recordCompleteAt(nanosAgo(Duration.ofSeconds(3))));
        assertTrue(tracker.recordCompleteAt(nanosAgo(Duration.ofSeconds(1))));
        assertFalse(tracker.recordCompleteAt(time.nanos()));
    }

    /** A node without a first answer has no copy that could be stale. */
    @Test
    public void noOutageBeforeTheFirstAnswer() {
        time.advance(Duration.ofSeconds(10));
        assertFalse(tracker.detectOutage());
    }
}
