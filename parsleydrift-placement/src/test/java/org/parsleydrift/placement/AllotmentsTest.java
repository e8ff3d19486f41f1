package org.parsleydrift.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.parsleydrift.registry.Quota;
import org.parsleydrift.registry.Team;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a fleet of nodes lets pass of one team, counted over every window. */
public class AllotmentsTest {
    private static final int SEEDS = 10;
    /** Usual demand beside the rate: teams are given well over half as much again as they usually send. */
    private static final double USUAL = 0.6;

    /** Nodes, and the team's rate a second: small and large teams in small and large fleets. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{9, 8.0}, {9, 120.0}, {71, 8.0}, {71, 120.0}};
    }

    private static void assertKept(AllotmentFleet fleet, String what) {
        assertTrue(
                fleet.mostInWindow <= fleet.bound(),
                what + ": " + fleet.mostInWindow + " requests in a window of " + fleet.bound());
    }

    /** A team that sends what it usually does is never turned away. */
    @Test(dataProvider = "fleets")
    public void belowItsLimitNothingIsRefused(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            AllotmentFleet fleet = new AllotmentFleet(nodes, rate, seed);
            fleet.play(20_000, rate * USUAL);
            assertEquals(fleet.refusedBelow, 0, "seed " + seed + " of " + fleet.asked + fleet.account);
        });
    }

    /**
     * One team sends eight times its usual through all nodes, each of which sees a small part of it. Counted by each node
     * alone, or let pass by whoever asked first, the team had a multiple of its allotment and ended few of its programs.
     */
    @Test(dataProvider = "fleets")
    public void aTeamThatSendsManyTimesItsUsualKeepsToItsLimit(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            AllotmentFleet fleet = new AllotmentFleet(nodes, rate, seed);
            fleet.play(6_000, rate * USUAL);
            int wholeBefore = fleet.programsWhole;
            fleet.play(8_000, rate * USUAL * 8);
            fleet.play(4_000, rate * USUAL);
            assertKept(fleet, "seed " + seed);
            assertTrue(fleet.programsWhole > wholeBefore, "seed " + seed);
        });
    }

    /** The allotment goes to whole programs: nearly all that were begun end, and little of the allotment is left unused. */
    @Test
    public void programsThatWereBegunEnd() {
        int begun = 0;
        int whole = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            AllotmentFleet fleet = new AllotmentFleet(71, 120, seed);
            fleet.play(6_000, 120 * USUAL);
            fleet.play(10_000, 120 * USUAL * 8);
            fleet.play(5_000, 0);
            begun += fleet.programsBegun;
            whole += fleet.programsWhole;
            assertKept(fleet, "seed " + seed);
        }
        assertTrue(whole >= 0.85 * begun, whole + " of " + begun);
    }

    /**
     * A fleet starts again at once while a team is over its limit. What the former lives let pass is known to nobody, and
     * a node that began with an empty count would give the team its allotment twice in one window.
     */
    @Test(dataProvider = "fleets")
    public void nodesThatStartAgainDoNotGiveTheAllotmentTwice(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            AllotmentFleet fleet = new AllotmentFleet(nodes, rate, seed);
            fleet.play(3_000, rate * USUAL * 8);
            fleet.kill(seed % 2 == 0 ? 1 : 0.55, 1000);
            fleet.play(7_000, rate * USUAL * 8);
            assertKept(fleet, "seed " + seed);
        });
    }

    /** Nodes that are cut off from all others let nothing more pass; what they let pass before still counts at the others. */
    @Test(dataProvider = "fleets")
    public void nodesThatAreCutOffDoNotAddToTheAllotment(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            AllotmentFleet fleet = new AllotmentFleet(nodes, rate, seed);
            fleet.play(3_000, rate * USUAL * 8);
            fleet.cut(0.35, true);
            fleet.play(5_000, rate * USUAL * 8);
            fleet.cut(0.35, false);
            fleet.play(5_000, rate * USUAL * 8);
            assertKept(fleet, "seed " + seed);
        });
    }

    /** A request that surely never ran gives its place back, and one that went to a second runner counts twice. */
    @Test
    public void onlyWhatMayHaveRunCounts() {
        AtomicLong now = new AtomicLong(Duration.ofSeconds(60).toNanos());
        QuotaTracker allotments = aged(now);
        Team team = new Team("t", OptionalInt.empty(), new Quota(10, 10));
        QuotaCharge first = place(allotments, team);
        QuotaCharge second = place(allotments, team);
        assertEquals(ran(allotments), 2);
        first.refund();
        first.refund();
        assertEquals(ran(allotments), 1);
        second.chargeAgain();
        assertEquals(ran(allotments), 2);
        now.addAndGet(Duration.ofSeconds(6).toNanos());
        assertEquals(allotments.report().teams(), Map.of());
    }

    private static int ran(QuotaTracker allotments) {
        return allotments.report().teams().get("t").sent().total();
    }

    /** A limit that was lowered far below what a team sends holds as soon as the window has passed. */
    @Test
    public void aLoweredLimitHoldsAtOnce() {
        AtomicLong now = new AtomicLong(Duration.ofSeconds(60).toNanos());
        QuotaTracker allotments = aged(now);
        Team before = new Team("t", OptionalInt.empty(), new Quota(100, 0));
        IntStream.range(0, 40).forEach(each -> place(allotments, before));
        Team lowered = new Team("t", OptionalInt.empty(), new Quota(5, 0));
        assertTrue(allotments.acquire(lowered, true, true) instanceof QuotaDecision.Exceeded);
        now.addAndGet(Duration.ofSeconds(6).toNanos());
        assertTrue(allotments.acquire(lowered, true, true) instanceof QuotaDecision.Allowed);
    }

    private static QuotaTracker aged(AtomicLong now) {
        QuotaTracker allotments =
                new QuotaTracker(now::get, new Random(1), new QuotaPolicy(AllotmentFleet.WINDOW, 0), () -> true);
        now.addAndGet(Duration.ofSeconds(10).toNanos());
        return allotments;
    }

    private static QuotaCharge place(QuotaTracker allotments, Team team) {
        return switch (allotments.acquire(team, true, true)) {
            case QuotaDecision.Allowed allowed -> allowed.charge().orElseThrow();
            case QuotaDecision.Exceeded over -> throw new AssertionError(over);
            case QuotaDecision.Undetermined unsure -> throw new AssertionError(unsure);
        };
    }
}
