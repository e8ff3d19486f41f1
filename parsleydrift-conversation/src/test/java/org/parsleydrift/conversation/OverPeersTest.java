package org.parsleydrift.conversation;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** An entry node that is cut off from the store VMs. */
public class OverPeersTest {
    /**
     * Symptom: all turns at some nodes are refused for as long as a cut lasts. Events: a node loses its paths to the
     * store VMs, its peers keep theirs. Cause: it waits for the direct paths.
     */
    @Test
    public void turnsBeginAndEndOverAPeer() {
        StoreCluster cluster = StoreCluster.ofThree();
        cluster.entry("peer");
        Conversations entry = cluster.entry("e", Optional.of("peer"));
        cluster.run(Duration.ofMillis(200));
        cluster.cutFromStores("e");
        BeginResult first = cluster.await(entry.begin(StoreCluster.begin("p", "r1", 1000, 10, "")));
        assertTrue(first instanceof BeginResult.Granted, first.toString());
        long begun = cluster.time.nanos();
        BeginResult second = cluster.await(entry.begin(StoreCluster.begin("p", "r2", 1000, 10, "")));
        assertTrue(second instanceof BeginResult.Granted, second.toString());
        assertTrue(
                cluster.time.nanos() - begun < Duration.ofMillis(30).toNanos(),
                "known paths that are broken cost time");
        cluster.keepTurn(entry, "r2", "", "one", "x");
        cluster.heal("e");
        cluster.run(Duration.ofSeconds(1));
        BeginResult third = cluster.await(entry.begin(StoreCluster.begin("p", "r3", 1000, 10, "r2")));
        assertTrue(third instanceof BeginResult.Granted, third.toString());
    }
}
