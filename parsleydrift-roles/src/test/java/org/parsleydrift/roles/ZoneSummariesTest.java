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

/** What a node makes of the sums that hubs tell. */
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
                use(load));
    }

    private static NodeUse use(int load) {
        return new NodeUse(Map.of(RUNNER, load), UsageReport.NONE);
    }

    private static Optional<List<String>> names(String... names) {
        return Optional.of(List.of(names));
    }

    /**
     * Symptom: runners look busier than they are by what the node itself has there, and get nothing from it. Events: the
     * hub's sum holds what the node told two rounds ago, when it had three requests at the runner. Cause: the node adds
     * the sum to what it has now.
     */
    @Test
    public void aNodeTakesItsOwnLoadOutOfTheSum() {
        ToldUse told = new ToldUse();
        told.told(1, use(3));
        told.told(2, use(1));
        ZoneSummaries zones = new ZoneSummaries();
        ZoneSummaries.Heard heard =
                zones.take(summary("a", 1, names("a", "b"), 8, 40, 1), 100).orElseThrow();
        assertEquals(told.othersIn(heard, "b"), use(5));
        ZoneSummaries.Heard newer =
                zones.take(summary("a", 1, Optional.empty(), 8, 41, 2), 200).orElseThrow();
        assertEquals(told.othersIn(newer, "b"), use(7));
        assertEquals(told.othersIn(newer, "c"), use(8));
    }

    /** Summaries come over several hubs and out of order; an older one changes nothing. */
    @Test
    public void anOlderSummaryIsPassedOver() {
        ZoneSummaries zones = new ZoneSummaries();
        assertTrue(zones.take(summary("a", 1, names("a", "b"), 8, 1, 1), 200).isPresent());
        assertFalse(zones.take(summary("a", 1, names("a"), 2, 1), 150).isPresent());
        assertEquals(zones.of("z").orElseThrow().summary().use(), use(8));
    }

    /**
     * Symptom: callers are not told of nodes that live. Events: a hub ends; the next one has heard only some nodes of the
     * zone yet. Cause: nodes that the new hub doesn't name are taken for gone.
     */
    @Test
    public void onlyTheSameHubSaysWhoHasLeft() {
        ZoneSummaries zones = new ZoneSummaries();
        ZoneSummaries.Heard first =
                zones.take(summary("a", 1, names("a", "b", "c"), 0), 100).orElseThrow();
        ZoneSummaries.Heard same =
                zones.take(summary("a", 2, names("a", "b"), 0), 200).orElseThrow();
        assertEquals(first.leftBefore(same), Set.of("c"));
        ZoneSummaries.Heard other =
                zones.take(summary("b", 1, names("b"), 0), 300).orElseThrow();
        assertEquals(same.leftBefore(other), Set.of());
    }

    /** A summary without members, of a version whose members were not heard, refreshes nobody. */
    @Test
    public void membersOfAnotherVersionDontHold() {
        ZoneSummaries zones = new ZoneSummaries();
        zones.take(summary("a", 1, names("a", "b"), 0), 100);
        assertTrue(zones.take(summary("a", 1, Optional.empty(), 0), 200)
                .orElseThrow()
                .members()
                .isPresent());
        assertTrue(zones.take(summary("a", 2, Optional.empty(), 0), 300)
                .orElseThrow()
                .members()
                .isEmpty());
    }
}
