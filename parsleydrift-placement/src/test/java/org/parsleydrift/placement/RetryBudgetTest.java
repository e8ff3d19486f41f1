package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Retries granted under few and under many failures. */
public class RetryBudgetTest {
    private static int granted(int requests, int failsOneIn) {
        RetryBudget budget = new RetryBudget();
        return (int) IntStream.range(0, requests)
                .peek(any -> budget.recordFirstAttempt())
                .filter(each -> each % failsOneIn == 0)
                .filter(any -> budget.tryAcquire())
                .count();
    }

    /** At a failure rate of 4% all failed requests are retried. */
    @Test
    public void isolatedFailuresAreAllRetried() {
        assertEquals(granted(1000, 25), 40);
    }

    /** Retries must not double the load of a service that fails as a whole. */
    @Test
    public void retriesOfFailingServiceAreLimited() {
        int retries = granted(1000, 1);
        assertTrue(retries <= 1000 / 10 + 10, "retries " + retries);
    }
}
