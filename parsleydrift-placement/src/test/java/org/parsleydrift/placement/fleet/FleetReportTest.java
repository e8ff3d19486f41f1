package org.parsleydrift.placement.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.placement.speed.SpeedSum;
import org.testng.annotations.Test;

/** Totals and bounds of the reports that nodes exchange under contention. */
public class FleetReportTest {
    private static final FleetReport A =
            new FleetReport(Map.of("engines", Map.of(0, 2, 2, 5)), Map.of(7L, new SpeedSum(10, 1.0)), Map.of(1L, 300));
    private static final FleetReport B = new FleetReport(
            Map.of("engines", Map.of(2, 1), "tools", Map.of(0, 4)),
            Map.of(7L, new SpeedSum(30, 2.0)),
            Map.of(1L, 500, 2L, 100));

    @Test
    public void totalsAddCountsAndWeighSpeeds() {
        FleetReport total = A.plus(B);
        assertEquals(total.waiting(), Map.of("engines", Map.of(0, 2, 2, 6), "tools", Map.of(0, 4)));
        assertEquals(total.speeds(), Map.of(7L, new SpeedSum(40, 1.75)));
        assertEquals(total.returnMillis(), Map.of(1L, 500, 2L, 100));
        assertEquals(total.waitingUpTo("engines", 1), 2);
        assertEquals(total.waitingUpTo("engines", 2), 8);
    }

    /** Guards against a node counting its own waiting requests as those of others, or a negative backlog. */
    @Test
    public void ownPartOfATotalIsRemoved() {
        FleetReport others = A.plus(B).minus(A);
        assertEquals(others.waiting(), B.waiting());
        assertEquals(others.speeds(), B.speeds());
        assertTrue(A.minus(A.plus(B)).waiting().isEmpty());
        assertTrue(A.minus(A.plus(B)).speeds().isEmpty());
    }

    /** Guards against return slots that stay reserved for callers that never come back. */
    @Test
    public void returnTimesAreDiscardedAfterTheirSlot() {
        assertEquals(B.agedBy(2150).returnMillis(), Map.of(1L, -1650));
        assertTrue(B.agedBy(2600).returnMillis().isEmpty());
    }

    /** Guards against status frames that grow with the number of services and rejected callers. */
    @Test
    public void limitedReportKeepsTheLargest() {
        Map<String, Map<Integer, Integer>> services = IntStream.rangeClosed(1, FleetReport.MAX_SERVICES + 5)
                .boxed()
                .collect(Collectors.toMap(each -> "s" + each, each -> Map.of(0, each)));
        Map<Integer, Integer> ranks =
                IntStream.range(0, 12).boxed().collect(Collectors.toMap(Function.identity(), rank -> 100 + rank));
        services.put("ranked", ranks);
        Map<Long, SpeedSum> speeds = IntStream.range(0, FleetReport.MAX_SPEEDS + 5)
                .boxed()
                .collect(Collectors.toMap(Integer::longValue, each -> new SpeedSum(each, 1)));
        Map<Long, Integer> returns = IntStream.range(0, FleetReport.MAX_RETURNS + 5)
                .boxed()
                .collect(Collectors.toMap(Integer::longValue, Function.identity()));
        FleetReport limited = new FleetReport(services, speeds, returns).limited();
        assertEquals(limited.waiting().size(), FleetReport.MAX_SERVICES);
        assertFalse(limited.waiting().containsKey("s5"));
        assertEquals(limited.waiting().get("ranked").size(), FleetReport.MAX_RANKS);
        assertFalse(limited.waiting().get("ranked").containsKey(3));
        assertEquals(limited.speeds().size(), FleetReport.MAX_SPEEDS);
        assertFalse(limited.speeds().containsKey(4L));
        assertEquals(limited.returnMillis().size(), FleetReport.MAX_RETURNS);
        assertFalse(limited.returnMillis().containsKey(4L));
    }
}
