package org.parsleydrift.placement.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class QueueOrderTest {
    private static final long NOW = TimeUnit.HOURS.toNanos(100);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long HOUR = TimeUnit.HOURS.toNanos(1);

    private static WaitingRequest request(int rank, boolean started, OptionalLong programLeft, long arrival) {
        OptionalLong deadline =
                programLeft.isPresent() ? OptionalLong.of(NOW + programLeft.getAsLong()) : OptionalLong.empty();
        return new WaitingRequest("engine", "team", rank, started, false, deadline, NOW + 3 * SECOND, SECOND, arrival);
    }

    private static List<Long> order(WaitingRequest... requests) {
        return QueueOrder.sort(List.of(requests), Function.identity(), NOW, new TeamShares(), new RankFloors(0.1))
                .stream()
                .map(WaitingRequest::arrival)
                .toList();
    }

    /** Guards against urgent requests behind programs in progress of lower ranks, and against wasting begun programs. */
    @Test
    public void rankPrecedesProgressAndProgressPrecedesNewPrograms() {
        OptionalLong ample = OptionalLong.of(9 * SECOND);
        OptionalLong late = OptionalLong.of(SECOND / 2);
        assertEquals(
                order(
                        request(2, true, ample, 1),
                        request(0, false, late, 2),
                        request(0, false, ample, 3),
                        request(0, true, late, 4),
                        request(2, false, ample, 5)),
                List.of(4L, 3L, 2L, 1L, 5L));
    }

    /** Guards against requests without a program deadline that count as late. */
    @Test
    public void requestWithoutProgramDeadlineIsOrderedByItsOwn() {
        assertEquals(
                order(
                        request(0, false, OptionalLong.of(SECOND), 1),
                        request(0, false, OptionalLong.empty(), 2),
                        request(0, false, OptionalLong.of(2 * SECOND), 3)),
                List.of(3L, 2L, 1L));
    }

    /** Guards against callers whose clock is wrong: deadlines in the past or far ahead are bounded. */
    @Test
    public void misstatedDeadlinesAreBounded() {
        assertEquals(
                order(
                        request(0, false, OptionalLong.of(2 * HOUR), 1),
                        request(0, false, OptionalLong.of(3 * HOUR / 2), 2),
                        request(0, false, OptionalLong.of(-SECOND), 3),
                        request(0, false, OptionalLong.of(-HOUR), 4)),
                List.of(1L, 2L, 3L, 4L));
    }

    /** Guards against a wrong order after a restart: without learned values only the deadlines count. */
    @Test
    public void unknownDurationsLeaveTheOrderToTheDeadlines() {
        ProgramDurations durations = new ProgramDurations();
        assertEquals(durations.neededNanos("route", false), 0);
        List<WaitingRequest> requests = LongStream.of(3, 1, 2)
                .mapToObj(each -> new WaitingRequest(
                        "engine",
                        "team",
                        0,
                        false,
                        false,
                        OptionalLong.of(NOW + each * SECOND / 100),
                        NOW + SECOND,
                        durations.neededNanos("route", false),
                        each))
                .toList();
        assertEquals(order(requests.toArray(WaitingRequest[]::new)), List.of(1L, 2L, 3L));
    }

    /** Guards against a wrong prediction of a program's end: 7 turns of 150 ms, one every 280 ms, take 1830 ms. */
    @Test
    public void learnsTheTimeOfWholePrograms() {
        ProgramDurations durations = new ProgramDurations();
        IntStream.range(0, 140).forEach(each -> {
            long elapsed = each % 7 * 280L;
            durations.recordArrival("route", elapsed > 0, OptionalLong.of((3_000 - elapsed) * 1_000_000));
            durations.recordRun("route", 150_000_000);
        });
        long neededMillis = durations.neededNanos("route", false) / 1_000_000;
        assertTrue(Math.abs(neededMillis - 1_830) < 60, neededMillis + " ms");
    }

    /** Guards against floors of many ranks that leave less than half of the slots to the best rank. */
    @Test
    public void floorsTakeAtMostHalfOfTheSlots() {
        RankFloors floors = new RankFloors(0.5);
        List<WaitingRequest> requests = IntStream.range(0, 400)
                .mapToObj(each -> request(each % 4, false, OptionalLong.empty(), each))
                .toList();
        long best = QueueOrder.sort(requests, Function.identity(), NOW, new TeamShares(), floors).stream()
                .limit(100)
                .filter(each -> each.rank() == 0)
                .count();
        assertTrue(best >= 50 && best < 100, "best rank " + best);
    }

    /** Guards against a team that gets more than its even share while others wait. */
    @Test
    public void teamBelowItsShareGoesFirst() {
        TeamShares shares = new TeamShares();
        IntStream.range(0, 5).forEach(each -> shares.recordAssigned("engine", "large", NOW));
        assertEquals(shares.belowShare("engine", Set.of("large", "small"), NOW), Set.of("small"));
        assertEquals(shares.belowShare("engine", Set.of("large", "small"), NOW + 2 * SECOND), Set.of());
    }
}
