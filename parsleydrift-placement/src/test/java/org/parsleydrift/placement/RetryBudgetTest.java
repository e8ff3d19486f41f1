package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Second tries under few and under many failures. */
public class RetryBudgetTest {
    private static int granted(int requests, int failsOneIn) {
        RetryBudget budget = new RetryBudget();
        return (int) IntStream.range(0, requests)
                .peek(any -> budget.recordFirstAttempt())
                .filter(each -> each % failsOneIn == 0)
                .filter(any -> budget.tryAcquire())
                .count();
    }

    /** Four answers in a hundred are lost: all of these requests are sent again. */
    @Test
    public void fewLostAnswersAreAllMadeUpFor() {
        assertEquals(granted(1000, 25), 40);
    }

    /**
     * Symptom: a service that is slow as a whole never recovers. Events: all first tries run into their limit and are
     * sent again. Cause: second tries double the load.
     */
    @Test
    public void aServiceThatFailsAsAWholeGetsATenthMoreAtMost() {
        int seconds = granted(1000, 1);
        assertTrue(seconds <= 1000 / 10 + 10, "second tries " + seconds);
    }
}
