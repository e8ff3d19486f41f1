package org.parsleydrift.conversation;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Handling of turns while the store VMs have no quorum. */
public class QuorumCircuitBreakerTest {
    private static BeginResult begin(StoreCluster cluster, Conversations entry, String request) {
        return cluster.await(entry.begin(StoreCluster.beginRequest("p", request, 1000, 10, "")));
    }

    /** Guards against each turn waiting for its own timeout while no quorum answers. */
    @Test
    public void failsFastAfterQuorumTimeout() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("x");
        assertTrue(begin(cluster, entry, "q1") instanceof BeginResult.Granted);
        cluster.partition("a");
        cluster.partition("b");
        assertTrue(begin(cluster, entry, "q2") instanceof BeginResult.Unavailable);
        CompletableFuture<BeginResult> probe = entry.begin(StoreCluster.beginRequest("p", "q3", 1000, 10, ""));
        CompletableFuture<BeginResult> next = entry.begin(StoreCluster.beginRequest("p", "q4", 1000, 10, ""));
        assertTrue(next.isDone() && next.join() instanceof BeginResult.Unavailable);
        cluster.heal("a");
        cluster.heal("b");
        assertTrue(cluster.await(probe) instanceof BeginResult.Granted);
        assertTrue(begin(cluster, entry, "q5") instanceof BeginResult.Granted);
    }

    /** Guards against turns being refused after the quorum has recovered. */
    @Test
    public void detectsRestoredQuorum() {
        StoreCluster cluster = StoreCluster.ofThree();
        Conversations entry = cluster.entry("x");
        cluster.partition("a");
        cluster.partition("b");
        assertTrue(begin(cluster, entry, "q1") instanceof BeginResult.Unavailable);
        cluster.heal("a");
        cluster.heal("b");
        cluster.run(Duration.ofMillis(150));
        assertTrue(begin(cluster, entry, "q2") instanceof BeginResult.Granted);
    }
}
