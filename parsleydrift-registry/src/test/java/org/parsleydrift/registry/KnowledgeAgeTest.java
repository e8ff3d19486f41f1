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
public class KnowledgeAgeTest {
    private ManualScheduler time;
    private KnowledgeAge age;

    @BeforeMethod
    public void begin() {
        time = new ManualScheduler();
        age = new KnowledgeAge(time);
    }

    private long nanosAgo(Duration ago) {
        return time.nanos() - ago.toNanos();
    }

    @Test
    public void countsFromTheMomentAtWhichTheAnsweredCallWasAsked() {
        time.advance(Duration.ofSeconds(10));
        age.answered(nanosAgo(Duration.ofMillis(300)));
        time.advance(Duration.ofSeconds(1));
        assertEquals(age.age(), Duration.ofMillis(1300));
        assertEquals(age.answeredAge(), Optional.of(Duration.ofMillis(1300)));
    }

    /** A late answer to an earlier request must not increase the staleness. */
    @Test
    public void anEarlierCallChangesNothing() {
        time.advance(Duration.ofSeconds(10));
        age.answered(nanosAgo(Duration.ofMillis(100)));
        age.answered(nanosAgo(Duration.ofSeconds(5)));
        assertEquals(age.age(), Duration.ofMillis(100));
        assertTrue(age.answeredBefore(nanosAgo(Duration.ZERO)));
        assertFalse(age.answeredBefore(nanosAgo(Duration.ofSeconds(5))));
    }

    @Test
    public void whatPeersSayIsNotToldOn() {
        time.advance(Duration.ofSeconds(10));
        age.completeAt(nanosAgo(Duration.ofMillis(200)));
        assertEquals(age.age(), Duration.ofMillis(200));
        assertEquals(age.answeredAge(), Optional.empty());
    }

    @Test
    public void aSilenceBeginsOnceAndEndsOnlyWithKnowledgeThatIsNewEnough() {
        age.answered(time.nanos());
        time.advance(KnowledgeAge.SILENCE);
        assertFalse(age.noticeSilence());
        time.advance(Duration.ofMillis(1));
        assertTrue(age.noticeSilence());
        assertFalse(age.noticeSilence());
        time.advance(Duration.ofSeconds(5));
        assertFalse(age.completeAt(nanosAgo(Duration.ofSeconds(3))));
        assertTrue(age.completeAt(nanosAgo(Duration.ofSeconds(1))));
        assertFalse(age.completeAt(time.nanos()));
    }

    /** A node without a first answer has no copy that could be stale. */
    @Test
    public void beforeTheFirstAnswerThereIsNoSilence() {
        time.advance(Duration.ofSeconds(10));
        assertFalse(age.noticeSilence());
    }
}
