package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleydrift.placement.UsageReport;
import org.testng.annotations.Test;

/** Processing of the summaries that hubs send. */
public class ZoneSummariesTest {
    private static final long RUNNER = 7;

    private static ZoneSummary summary(
            String hub, long version, Optional<List<String>> names, int load, int... rounds) {
        return new ZoneSummary(
                "z",
                hub,
                0,
                version,
                names.map(all -> all.stream()
                        .map(name -> new ZoneSummary.Member(name, Optional.empty(), true, true, true))
                        .toList()),
                Arrays.stream(rounds).boxed().toList(),
                Map.of(),
                usage(load));
    }

    private static NodeUsage usage(int load) {
        return new NodeUsage(Map.of(RUNNER, load), UsageReport.NONE);
    }

    private static Optional<List<String>> names(String... names) {
        return Optional.of(List.of(names));
    }

    /** Guards against counting a node's own load twice when its hub's sum contains an earlier value of it. */
    @Test
    public void ownLoadIsSubtractedFromTheSum() {
        SentUsageHistory history = new SentUsageHistory();
        history.add(1, usage(3));
        history.add(2, usage(1));
        ZoneSummaries zones = new ZoneSummaries();
        ZoneSummaries.Received received =
                zones.apply(summary("a", 1, names("a", "b"), 8, 40, 1), 100).orElseThrow();
        assertEquals(history.usageOfOthers(received, "b"), usage(5));
        ZoneSummaries.Received newer =
                zones.apply(summary("a", 1, Optional.empty(), 8, 41, 2), 200).orElseThrow();
        assertEquals(history.usageOfOthers(newer, "b"), usage(7));
        assertEquals(history.usageOfOthers(newer, "c"), usage(8));
    }

    /** Summaries arrive through several hubs and out of order; older ones must be ignored. */
    @Test
    public void olderSummariesAreIgnored() {
        ZoneSummaries zones = new ZoneSummaries();
        assertTrue(zones.apply(summary("a", 1, names("a", "b"), 8, 1, 1), 200).isPresent());
        assertFalse(zones.apply(summary("a", 1, names("a"), 2, 1), 150).isPresent());
        assertEquals(zones.of("z").orElseThrow().summary().usage(), usage(8));
    }

    /** Guards against removing live nodes when a new hub has not heard all members of its zone yet. */
    @Test
    public void onlyTheSameHubRemovesMembers() {
        ZoneSummaries zones = new ZoneSummaries();
        ZoneSummaries.Received first =
                zones.apply(summary("a", 1, names("a", "b", "c"), 0), 100).orElseThrow();
        ZoneSummaries.Received same =
                zones.apply(summary("a", 2, names("a", "b"), 0), 200).orElseThrow();
        assertEquals(first.departedBefore(same), Set.of("c"));
        ZoneSummaries.Received other =
                zones.apply(summary("b", 1, names("b"), 0), 300).orElseThrow();
        assertEquals(same.departedBefore(other), Set.of());
    }

    /** Guards against applying the members of a different version. */
    @Test
    public void membersOfAnotherVersionAreNotUsed() {
        ZoneSummaries zones = new ZoneSummaries();
        zones.apply(summary("a", 1, names("a", "b"), 0), 100);
        assertTrue(zones.apply(summary("a", 1, Optional.empty(), 0), 200)
                .orElseThrow()
                .members()
                .isPresent());
        assertTrue(zones.apply(summary("a", 2, Optional.empty(), 0), 300)
                .orElseThrow()
                .members()
                .isEmpty());
    }
}
