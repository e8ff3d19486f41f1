package org.parsleydrift.placement.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.parsleydrift.placement.admission.SlotModel.Program;
import org.testng.annotations.Test;

/** Replay of the worst loads on a small slot model, with the new decisions and with today's order. */
public class ContentionReplayTest {
    private static final Predicate<Program> URGENT = each -> each.rank == 0;

    /** Less urgent programs at 2.5 times their load for 7 s, then urgent ones at 1.9 times for 4 s. */
    private static SlotModel bursts(boolean today) {
        return new SlotModel(today)
                .load("urgent", 0, 8, 0, 20_000)
                .load("less urgent", 2, 8, 0, 20_000)
                .load("less urgent", 2, 12, 3_000, 10_000)
                .load("urgent", 0, 7.2, 11_000, 15_000)
                .run();
    }

    private static double meanWaitMillis(List<Program> programs) {
        return programs.stream()
                .mapToDouble(each -> (double) each.waited / SlotModel.MILLI)
                .average()
                .orElseThrow();
    }

    private static double waitMillis90(List<Program> programs) {
        return programs.stream()
                .mapToLong(each -> each.firstWait / SlotModel.MILLI)
                .sorted()
                .skip(programs.size() * 9L / 10)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the worth of programs of rank 2, as a share of what they are worth in time. */
    private static double worthShare(List<Program> programs) {
        return programs.stream().mapToDouble(Program::worth).sum() / 5 / programs.size();
    }

    private static double finishedShare(List<Program> programs) {
        return (double) programs.stream().filter(Program::finished).count() / programs.size();
    }

    /** Guards against urgent requests behind all those of less urgent programs in progress. */
    @Test
    public void urgentProgramsWaitLessThanInTodaysOrder() {
        SlotModel now = bursts(false);
        SlotModel before = bursts(true);
        assertTrue(meanWaitMillis(now.programs(URGENT)) < meanWaitMillis(before.programs(URGENT)), "mean wait");
        assertTrue(waitMillis90(now.programs(URGENT)) < waitMillis90(before.programs(URGENT)), "90th percentile");
        assertTrue(finishedShare(now.programs(URGENT)) >= 1, "urgent programs not finished");
        assertTrue(
                finishedShare(now.programs(URGENT.negate())) >= finishedShare(before.programs(URGENT.negate())),
                "less urgent programs not finished");
        assertEquals(now.programs(each -> each.done > 0 && !each.finished()).size(), 0, "programs lost in progress");
    }

    /** Guards against a return schedule whose callers are rejected again or served too late. */
    @Test
    public void mostProgramsThatReturnInTheirSlotAreServed() {
        List<Program> returned = bursts(false).programs(each -> each.returnedInSlot);
        assertTrue(returned.size() >= 20, "returned " + returned.size());
        assertTrue(finishedShare(returned) >= 2.0 / 3, "finished " + finishedShare(returned));
    }

    /** Guards against lower ranks that get nothing while urgent requests wait. */
    @Test
    public void lowerRanksKeepTheirFloor() {
        SlotModel model = new SlotModel(false)
                .load("urgent", 0, 80, 1_000, 5_000)
                .load("less urgent", 2, 20, 0, 5_000)
                .run();
        long lower = model.contested.stream().filter(each -> each == 2).count();
        // Two assignments less: a rank has to earn its first slot, and the last one may not be complete.
        assertTrue(lower >= 0.1 * model.contested.size() - 2, lower + " of " + model.contested.size());
    }

    /** Guards against a team that takes the share of others by sending 8 times its usual load. */
    @Test
    public void smallTeamsKeepTheirShare() {
        SlotModel model = new SlotModel(false).load("large", 2, 8 * 3, 2_000, 9_000);
        List.of("a", "b", "c", "d").forEach(each -> model.load(each, 2, 3, 0, 9_000));
        model.run();
        List<Program> small = model.programs(each -> each.team.length() == 1);
        List<Program> large = model.programs(each -> each.team.equals("large"));
        assertTrue(meanWaitMillis(small) < meanWaitMillis(large) / 2, meanWaitMillis(small) + " ms");
        assertTrue(worthShare(small) >= 1, "small teams not served in time: " + worthShare(small));
    }
}
