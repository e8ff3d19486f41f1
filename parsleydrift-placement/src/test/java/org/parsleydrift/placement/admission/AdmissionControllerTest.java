package org.parsleydrift.placement.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.fleet.SlotReservation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AdmissionControllerTest {
    private static final long NOW = TimeUnit.HOURS.toNanos(1);
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;

    private ReturnSchedule returns;
    private AdmissionController controller;

    @BeforeMethod
    public void createController() {
        returns = new ReturnSchedule();
        controller = new AdmissionController(ContentionSettings.DEFAULTS, returns);
    }

    private static AdmissionRequest request(int rank, boolean started, boolean returned, int ahead) {
        return new AdmissionRequest(
                "engine",
                7,
                rank,
                started,
                returned,
                false,
                !started,
                ahead,
                OptionalLong.of(NOW + 1_500 * MILLI),
                NOW + 3 * SECOND,
                150 * MILLI,
                1_000 * MILLI);
    }

    private static ServiceState state(int slots, int own, Map<Integer, Integer> peers, double rate) {
        return new ServiceState(slots, 20, 0, own == 0 ? Map.of() : Map.of(0, own), peers, rate, 0.5);
    }

    private boolean admits(AdmissionRequest request, ServiceState state) {
        return controller.decide(request, state, NOW) instanceof Admission.Enqueue;
    }

    /** Guards against rejections while a slot is free to the rank or nothing waits. */
    @Test
    public void neverRejectsWhileSlotsAreFreeOrNothingWaits() {
        Random random = new Random(1);
        IntStream.range(0, 20_000).forEach(any -> {
            int rank = random.nextInt(3);
            int slots = 1 + random.nextInt(200);
            boolean waiting = random.nextBoolean();
            int load =
                    waiting ? (int) Math.ceil(random.nextDouble() * (rank == 0 ? slots : 0.95 * slots)) - 1 : 2 * slots;
            ServiceState state = new ServiceState(
                    slots, Math.max(0, load), 0, waiting ? Map.of(1, 500) : Map.of(), Map.of(), random.nextDouble(), 1);
            AdmissionRequest request = request(rank, random.nextBoolean(), false, waiting ? 500 : 0);
            assertTrue(admits(request, state), request + " " + state);
        });
    }

    /** Guards against urgent programs begun too late, and against rejecting others that would only be late. */
    @Test
    public void onlyUrgentProgramsAreRejectedForALateStart() {
        ServiceState state = state(20, 100, Map.of(), 100);
        assertTrue(controller.decide(request(0, false, false, 100), state, NOW) instanceof Admission.Refuse refuse
                && refuse.reason() == Admission.Reason.LATE_START);
        assertTrue(admits(request(2, false, false, 100), state));
        assertFalse(admits(request(2, false, false, 170), state(20, 170, Map.of(), 100)));
    }

    /** Guards against lost programs: a request in progress waits unless no start before its deadline is predicted. */
    @Test
    public void requestsInProgressWait() {
        ServiceState state = state(20, 250, Map.of(), 100);
        assertTrue(controller.decide(request(2, true, false, 150), state, NOW) instanceof Admission.Enqueue enqueue
                && enqueue.maxWait().equals(Duration.ofMillis(1_800)));
        assertTrue(controller.decide(request(2, true, false, 250), state, NOW) instanceof Admission.Enqueue enqueue
                && enqueue.maxWait().equals(Duration.ofMillis(2_850)));
        assertFalse(admits(request(2, true, false, 290), state));
    }

    /** Guards against decisions on an unknown rate: at the start as before, with stuck runners by the last mean time. */
    @Test
    public void rateWithoutCompletionsFollowsFromTheLastKnownMeanTime() {
        DrainRate drain = new DrainRate();
        assertEquals(drain.slotsPerSecond(0, 0.1, 20, 20, NOW), 0.0);
        assertTrue(controller.decide(request(2, false, false, 500), state(20, 500, Map.of(), 0), NOW)
                        instanceof Admission.Enqueue enqueue
                && enqueue.maxWait().equals(Duration.ofMillis(900)));
        LongStream.range(0, 40).forEach(each -> {
            drain.recordAssigned(0, NOW + each * 200 * MILLI);
            drain.recordReleased(true, NOW + each * 200 * MILLI + 100 * MILLI);
        });
        assertEquals(drain.slotsPerSecond(0, 0.1, 20, 20, NOW + 8 * SECOND), 200.0, 20.0);
        drain.recordAssigned(0, NOW + 8 * SECOND);
        assertEquals(drain.slotsPerSecond(0, 0.1, 20, 20, NOW + 18 * SECOND), 200.0, 20.0);
    }

    /** Guards against stale admissions after the loss of a runner: new programs are rejected, those in progress wait. */
    @Test
    public void lostRunnerLowersTheRate() {
        DrainRate drain = new DrainRate();
        drain.recordAssigned(0, NOW);
        drain.recordReleased(true, NOW + 100 * MILLI);
        double before = drain.slotsPerSecond(0, 0.1, 20, 20, NOW + 100 * MILLI);
        double after = drain.slotsPerSecond(0, 0.1, 5, 5, NOW + 100 * MILLI);
        assertEquals(after, before / 4, 0.01);
        int waiting = (int) before;
        assertTrue(admits(request(2, false, true, 3 * waiting), state(20, 3 * waiting, Map.of(), before)));
        assertTrue(admits(request(2, false, false, waiting), state(20, waiting, Map.of(), before)));
        assertFalse(admits(request(2, false, false, waiting), state(5, waiting, Map.of(), after)));
        assertFalse(admits(request(2, false, true, waiting), state(5, waiting, Map.of(), after)));
        assertTrue(admits(request(2, true, false, waiting / 2), state(5, waiting, Map.of(), after)));
    }

    /** Guards against waits counted for silent peers, or not counted for peers that report. */
    @Test
    public void onlyTheOwnQueueCountsWhilePeersAreSilent() {
        assertTrue(admits(request(0, false, false, 10), state(20, 10, Map.of(), 100)));
        assertFalse(admits(request(0, false, false, 10), state(20, 10, Map.of(0, 90), 100)));
    }

    /** Guards against rejected callers that all return at once, too soon, or later than they honour. */
    @Test
    public void returnsAreSpacedWithinTheirBounds() {
        ServiceState state = state(20, 40, Map.of(), 100);
        List<Long> millis = LongStream.range(0, 100)
                .mapToObj(each -> controller.refuseWaited(request(2, false, false, 40), state, NOW))
                .map(each -> each.retryAfter().toMillis())
                .toList();
        assertEquals(millis.subList(0, 3), List.of(400L, 420L, 440L));
        assertTrue(millis.stream().allMatch(each -> each >= 100 && each <= 1_000), millis.toString());
        assertTrue(millis.stream().distinct().count() > 90, millis.toString());
    }

    /** Guards against callers that gain by an early return, and against slots known only where they were assigned. */
    @Test
    public void programsAreRecognisedInTheirSlotAtAnyNode() {
        ReturnSchedule peer = new ReturnSchedule();
        Duration delay =
                returns.reserve("engine", 1, Duration.ofMillis(300), Duration.ZERO, Duration.ofSeconds(1), NOW);
        assertEquals(delay, Duration.ofMillis(300));
        assertEquals(peer.learn(returns.announced(NOW), NOW), 0);
        List.of(returns, peer).forEach(each -> {
            assertFalse(each.isDue(1, NOW + 240 * MILLI));
            assertTrue(each.isDue(1, NOW + 260 * MILLI));
            assertFalse(each.isDue(1, NOW + 2_400 * MILLI));
        });
        assertEquals(
                peer.learn(List.of(new ReturnSchedule.Slot(2, 60_000), new ReturnSchedule.Slot(3, -9_000)), NOW), 2);
    }

    /** Guards against lower ranks in slots that urgent requests need, and against a floor without slots. */
    @Test
    public void lowerRanksLeaveReservedSlots() {
        SlotReservation reservation = new SlotReservation(0.05);
        ServiceState free = new ServiceState(40, 30, 0, Map.of(2, 1), Map.of(), 0, 1);
        ServiceState urgent = new ServiceState(40, 30, 0, Map.of(), Map.of(0, 1), 0, 1);
        ServiceState full = new ServiceState(40, 39, 0, Map.of(), Map.of(), 0, 1);
        assertEquals(reservation.highestLoad(6, 7, 0, false, urgent), 7);
        assertEquals(reservation.highestLoad(6, 7, 2, false, free), 6);
        assertEquals(reservation.highestLoad(6, 7, 2, false, urgent), 5);
        assertEquals(reservation.highestLoad(6, 7, 2, false, full), 5);
        assertEquals(reservation.highestLoad(6, 7, 2, true, urgent), 7);
        assertEquals(reservation.highestLoad(1, 1, 2, false, urgent), 1);
    }
}
