package org.parsleydrift.bench.decisions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Compares ways to share slots between nodes on the same programs. */
public class ContentionRunTest {
    private static final ContentionLoad LOAD = ContentionLoad.of("contention", 1);

    private static ContentionResult run(SlotPolicy policy, int nodes) {
        return ContentionRun.run(policy, LOAD, nodes, 0);
    }

    @Test
    public void sameSeedGivesTheSameRun() {
        assertEquals(run(SlotPolicy.RESERVED, 9), run(SlotPolicy.RESERVED, 9));
    }

    /** Guards against urgent turns that wait behind a burst of the lower rank. */
    @Test
    public void reservedSlotsShortenTheWaitOfUrgentTurns() {
        double reserved = run(SlotPolicy.RESERVED, 9).urgentWaitMillis();
        double today = run(SlotPolicy.TODAY, 9).urgentWaitMillis();
        assertTrue(reserved < today, reserved + " against " + today);
    }

    /** Guards against a coordinator whose delays cost more than its exact counts gain with many nodes. */
    @Test
    public void coordinatorKeepsEnginesFromRejecting() {
        ContentionResult coordinator = run(SlotPolicy.COORDINATOR, 70);
        assertTrue(coordinator.engineFull() < 0.01, "engine full " + coordinator.engineFull());
        assertTrue(coordinator.worth() > run(SlotPolicy.TODAY, 70).worth(), "worth " + coordinator.worth());
    }
}
