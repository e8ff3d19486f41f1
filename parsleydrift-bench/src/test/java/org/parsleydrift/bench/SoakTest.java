package org.parsleydrift.bench;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short randomised runs with faults of every kind; {@code bin/soak} makes long ones. */
public class SoakTest {
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{101L}, {102L}, {103L}};
    }

    /**
     * Symptom: anything that must always hold does not. Events: nodes die, pause and drain, connections fall silent, the
     * platform is down, slow or loses answers, engines and tools fail, operators race, several at a time. Cause: as the
     * seed shows; run it with {@code PARSLEYDRIFT_LOG=INFO bin/soak --seed N}.
     */
    @Test(dataProvider = "seeds")
    public void nothingIsViolatedUnderAllFaults(long seed) {
        SoakReport report = new Soak(SoakOptions.withAllFaults(seed, 600)).run();
        assertEquals(report.violations(), List.of(), report.line());
    }

    @Test
    public void sameSeedGivesTheSameRun() {
        String first = new Soak(SoakOptions.withAllFaults(5, 150)).run().line();
        assertEquals(new Soak(SoakOptions.withAllFaults(5, 150)).run().line(), first);
    }
}
