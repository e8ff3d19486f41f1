package org.parsleydrift.conversation;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** Requests of an entry node that is partitioned from the store VMs. */
public class PeerRelayTest {
    /** Guards against refusing all turns of a node that has lost its direct paths while its peers still have theirs. */
    @Test
    public void relaysTurnsThroughPeer() {
        StoreCluster cluster = StoreCluster.ofThree();
        cluster.entry("peer");
        Conversations entry = cluster.entry("e", Optional.of("peer"));
        cluster.run(Duration.ofMillis(200));
        cluster.partitionFromStores("e");
        BeginResult first = cluster.await(entry.begin(StoreCluster.beginRequest("p", "r1", 1000, 10, "")));
        assertTrue(first instanceof BeginResult.Granted, first.toString());
        long startNanos = cluster.time.nanos();
        BeginResult second = cluster.await(entry.begin(StoreCluster.beginRequest("p", "r2", 1000, 10, "")));
        assertTrue(second instanceof BeginResult.Granted, second.toString());
        assertTrue(
                cluster.time.nanos() - startNanos < Duration.ofMillis(30).toNanos(),
                "a turn waited for a direct path known to be broken");
        cluster.commitTurn(entry, "r2", "", "one", "x");
        cluster.heal("e");
        cluster.run(Duration.ofSeconds(1));
        BeginResult third = cluster.await(entry.begin(StoreCluster.beginRequest("p", "r3", 1000, 10, "r2")));
        assertTrue(third instanceof BeginResult.Granted, third.toString());
    }
}
