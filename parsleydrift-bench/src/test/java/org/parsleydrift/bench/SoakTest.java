package org.parsleydrift.bench;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short randomised runs with faults of every kind; {@code bin/soak} executes long ones. */
public class SoakTest {
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{101L}, {102L}, {103L}};
    }

    /**
     * Guards against violations of any invariant under overlapping faults. A failing seed is reproduced with logs by
     * {@code PARSLEYDRIFT_LOG=INFO bin/soak --seed N}.
     */
    @Test(dataProvider = "seeds")
    public void invariantsHoldUnderAllFaults(long seed) {
        SoakReport report = new Soak(SoakOptions.withAllFaults(seed, 600)).run();
        assertEquals(report.violations(), List.of(), report.line());
    }

    @Test
    public void sameSeedGivesTheSameRun() {
        String first = new Soak(SoakOptions.withAllFaults(5, 150)).run().line();
        assertEquals(new Soak(SoakOptions.withAllFaults(5, 150)).run().line(), first);
    }
}
