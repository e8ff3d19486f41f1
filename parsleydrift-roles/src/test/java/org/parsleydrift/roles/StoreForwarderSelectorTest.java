package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.roles.StoreForwarderSelector.Candidate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Choice of the peers that forward requests to store VMs. */
public class StoreForwarderSelectorTest {
    private long now;
    private List<Candidate> candidates;
    private StoreForwarderSelector selector;

    @BeforeMethod
    public void begin() {
        now = 0;
        candidates = List.of(
                new Candidate("idle", false),
                new Candidate("one", true),
                new Candidate("two", true),
                new Candidate("three", true));
        selector = new StoreForwarderSelector(() -> candidates, new Random(5), () -> now);
    }

    private Set<String> chosen(String store) {
        return IntStream.range(0, 100)
                .mapToObj(any -> selector.choose(store).orElse("none"))
                .collect(Collectors.toSet());
    }

    /** Guards against sending all requests through one peer, and through peers that may not know that they are partitioned. */
    @Test
    public void peersWithProofAreChosenAtRandom() {
        assertEquals(chosen("s1"), Set.of("one", "two", "three"));
    }

    /** Guards against returning to a peer that does not answer while others do. */
    @Test
    public void silentPeerIsAvoidedForSomeTime() {
        selector.recordSilence("s1", "one");
        assertEquals(chosen("s1"), Set.of("two", "three"));
        assertEquals(chosen("s2"), Set.of("two", "three"));
        now = StoreForwarderSelector.AVOIDANCE.toNanos();
        assertEquals(chosen("s1"), Set.of("one", "two", "three"));
    }

    /** Guards against leaving a peer that works, also one that reports no proof. */
    @Test
    public void answeringPeerIsKeptUntilItIsSilent() {
        selector.recordSilence("s1", "idle");
        selector.recordAnswer("s1", "idle");
        assertEquals(chosen("s1"), Set.of("idle"));
        assertEquals(chosen("s2"), Set.of("idle"));
        selector.recordSilence("s1", "idle");
        assertTrue(!chosen("s1").contains("idle"));
    }

    /** Guards against avoiding all peers because a single store VM has failed. */
    @Test
    public void failedStoreDoesNotExcludePeersForOthers() {
        candidates.forEach(each -> selector.recordSilence("failed", each.link()));
        assertEquals(selector.choose("failed"), Optional.empty());
        assertEquals(chosen("s1"), Set.of("idle", "one", "two", "three"));
    }

    /** Guards against rejecting all turns when no peer has used the store VMs for a while. */
    @Test
    public void peersWithoutProofAreChosenIfThereAreNoOthers() {
        candidates = List.of(new Candidate("idle", false), new Candidate("one", true));
        selector.recordSilence("s1", "one");
        assertEquals(chosen("s1"), Set.of("idle"));
    }

    /** Guards against forwarding through a peer that has ended. */
    @Test
    public void keptPeerMustBeAlive() {
        selector.recordAnswer("s1", "one");
        candidates = List.of(new Candidate("two", true));
        assertEquals(chosen("s1"), Set.of("two"));
    }
}
