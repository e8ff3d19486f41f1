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

/** Enforcement of a team's quota by a simulated fleet of nodes, checked over every window. */
public class QuotaTrackerTest {
    private static final QuotaRequest IN_PROGRESS = new QuotaRequest(true, true);
    private static final int SEEDS = 10;
    /** Normal demand as a share of the quota's rate. */
    private static final double NORMAL_DEMAND = 0.6;

    /** Number of nodes and rate of the quota, requests per second. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{9, 8.0}, {9, 120.0}, {71, 8.0}, {71, 120.0}};
    }

    private static void assertWithinQuota(QuotaFleet fleet, String what) {
        assertTrue(
                fleet.maxInWindow <= fleet.maxRequests(),
                what + ": " + fleet.maxInWindow + " requests in a window of " + fleet.maxRequests());
    }

    /** Demand below the quota must never be rejected. */
    @Test(dataProvider = "fleets")
    public void demandBelowQuotaIsNeverRejected(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            QuotaFleet fleet = new QuotaFleet(nodes, rate, seed);
            fleet.run(20_000, rate * NORMAL_DEMAND);
            assertEquals(
                    fleet.rejectedBelowLimit, 0, "seed " + seed + " of " + fleet.attempts + fleet.rejectionDetails);
        });
    }

    /**
     * A team in overload, of which each node sees a small part, must stay within its quota and still complete programs.
     */
    @Test(dataProvider = "fleets")
    public void overloadStaysWithinQuota(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            QuotaFleet fleet = new QuotaFleet(nodes, rate, seed);
            fleet.run(6_000, rate * NORMAL_DEMAND);
            int completedBefore = fleet.programsCompleted;
            fleet.run(8_000, rate * NORMAL_DEMAND * 8);
            fleet.run(4_000, rate * NORMAL_DEMAND);
            assertWithinQuota(fleet, "seed " + seed);
            assertTrue(fleet.programsCompleted > completedBefore, "seed " + seed);
        });
    }

    /** Nearly all programs that were started must complete under overload. */
    @Test
    public void startedProgramsComplete() {
        int started = 0;
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            QuotaFleet fleet = new QuotaFleet(71, 120, seed);
            fleet.run(6_000, 120 * NORMAL_DEMAND);
            fleet.run(10_000, 120 * NORMAL_DEMAND * 8);
            fleet.run(5_000, 0);
            started += fleet.programsStarted;
            completed += fleet.programsCompleted;
            assertWithinQuota(fleet, "seed " + seed);
        }
        assertTrue(completed >= 0.85 * started, completed + " of " + started);
    }

    /** Guards against nodes that each admit a part of a sudden demand before any of them has reported its own. */
    @Test(dataProvider = "fleets")
    public void suddenDemandStaysWithinQuota(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            QuotaFleet fleet = new QuotaFleet(nodes, rate, seed);
            fleet.surge((int) (2 * fleet.maxRequests()));
            fleet.run(6_000, 0);
            assertWithinQuota(fleet, "seed " + seed);
        });
    }

    /** Nodes that restart under overload have lost their counts and must not grant the quota a second time. */
    @Test(dataProvider = "fleets")
    public void restartedNodesDoNotGrantQuotaTwice(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            QuotaFleet fleet = new QuotaFleet(nodes, rate, seed);
            fleet.run(3_000, rate * NORMAL_DEMAND * 8);
            fleet.restart(seed % 2 == 0 ? 1 : 0.55, 1000);
            fleet.run(7_000, rate * NORMAL_DEMAND * 8);
            assertWithinQuota(fleet, "seed " + seed);
        });
    }

    /** Partitioned nodes must not admit requests; those that they admitted before still count at the others. */
    @Test(dataProvider = "fleets")
    public void partitionedNodesDoNotAddToQuota(int nodes, double rate) {
        IntStream.range(0, SEEDS).forEach(seed -> {
            QuotaFleet fleet = new QuotaFleet(nodes, rate, seed);
            fleet.run(3_000, rate * NORMAL_DEMAND * 8);
            fleet.partition(0.35, true);
            fleet.run(5_000, rate * NORMAL_DEMAND * 8);
            fleet.partition(0.35, false);
            fleet.run(5_000, rate * NORMAL_DEMAND * 8);
            assertWithinQuota(fleet, "seed " + seed);
        });
    }

    /** A request that certainly did not run is refunded, and a retry of one that may have run counts twice. */
    @Test
    public void onlyPossibleRunsAreCharged() {
        AtomicLong now = new AtomicLong(Duration.ofSeconds(60).toNanos());
        QuotaTracker quotas = trackerAfterStart(now);
        Team team = new Team("t", OptionalInt.empty(), new Quota(10, 10));
        QuotaCharge first = acquire(quotas, team);
        QuotaCharge second = acquire(quotas, team);
        assertEquals(sentRequests(quotas), 2);
        first.refund();
        first.refund();
        assertEquals(sentRequests(quotas), 1);
        second.chargeAgain();
        assertEquals(sentRequests(quotas), 2);
        now.addAndGet(Duration.ofSeconds(6).toNanos());
        assertEquals(quotas.report().teams(), Map.of());
    }

    /** Guards against a send that is not counted, as the counters of its team were dropped while it waited. */
    @Test
    public void sendAfterAWindowOfWaitingIsCounted() {
        AtomicLong now = new AtomicLong(Duration.ofSeconds(60).toNanos());
        QuotaTracker quotas = trackerAfterStart(now);
        QuotaCharge charge = acquire(quotas, new Team("t", OptionalInt.empty(), new Quota(10, 10)));
        now.addAndGet(Duration.ofSeconds(6).toNanos());
        assertEquals(quotas.report().teams(), Map.of());
        charge.recordSend();
        assertEquals(sentRequests(quotas), 1);
    }

    private static int sentRequests(QuotaTracker quotas) {
        return quotas.report().teams().get("t").sent().total();
    }

    /** A lowered quota applies at once, and admits requests again after one window. */
    @Test
    public void loweredQuotaAppliesAtOnce() {
        AtomicLong now = new AtomicLong(Duration.ofSeconds(60).toNanos());
        QuotaTracker quotas = trackerAfterStart(now);
        Team before = new Team("t", OptionalInt.empty(), new Quota(100, 0));
        IntStream.range(0, 40).forEach(each -> acquire(quotas, before));
        Team lowered = new Team("t", OptionalInt.empty(), new Quota(5, 0));
        assertTrue(quotas.acquire(lowered, IN_PROGRESS, QuotaAuthority.SETTLED) instanceof QuotaDecision.Exceeded);
        now.addAndGet(Duration.ofSeconds(6).toNanos());
        assertTrue(quotas.acquire(lowered, IN_PROGRESS, QuotaAuthority.SETTLED) instanceof QuotaDecision.Allowed);
    }

    private static QuotaTracker trackerAfterStart(AtomicLong now) {
        QuotaTracker quotas =
                new QuotaTracker(now::get, new Random(1), new QuotaPolicy(QuotaFleet.WINDOW, 0, 0), () -> true);
        now.addAndGet(Duration.ofSeconds(10).toNanos());
        return quotas;
    }

    private static QuotaCharge acquire(QuotaTracker quotas, Team team) {
        return switch (quotas.acquire(team, IN_PROGRESS, QuotaAuthority.SETTLED)) {
            case QuotaDecision.Allowed allowed -> allowed.charge().orElseThrow();
            case QuotaDecision.Exceeded exceeded -> throw new AssertionError(exceeded);
            case QuotaDecision.Undetermined undetermined -> throw new AssertionError(undetermined);
        };
    }
}
