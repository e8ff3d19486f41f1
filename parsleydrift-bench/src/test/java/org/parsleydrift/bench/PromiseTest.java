package org.parsleydrift.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.parsleydrift.node.caller.RefusalKind;
import org.parsleydrift.standin.EngineFaults;
import org.parsleydrift.standin.PlatformFaults;
import org.parsleydrift.standin.ToolFaults;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guarantees of the scheduler under single faults, on an in-memory fleet (docs/PROMISES.md). */
public class PromiseTest {
    private static final String SCRIPT = "d <say 4 / say 3, tool once {\"n\":1} / say 3, spawn a <say 2, end>,"
            + " spawn a <say 3, tool often {\"n\":2} / say 2, end> / say 3, tool once {\"n\":3} / say 2, end>";
    private static final Duration TIMEOUT = Duration.ofMinutes(3);

    private Fleet fleet;

    @BeforeMethod
    void startFleet() {
        fleet = new Fleet(new FleetOptions(7, 3, 2, 1));
        fleet.advance(Duration.ofSeconds(1));
        fleet.submit(fleet.manifest(32));
    }

    @Test
    public void programsCompleteWithoutFaults() {
        List<FleetCaller> callers = begin(20, SCRIPT, 0);
        awaitDone(callers);
        assertAllComplete(callers);
        assertNoRepeatedEffect();
    }

    /** Guards against lost programs and repeated non-idempotent calls when nodes are killed and restarted. */
    @Test
    public void killedOwnerLosesAndRepeatsNothing() {
        List<FleetCaller> callers = begin(40, SCRIPT, 0);
        fleet.advance(Duration.ofMillis(120));
        List.copyOf(fleet.nodes()).forEach(node -> {
            node.kill();
            fleet.advance(Duration.ofSeconds(4));
            node.start();
            fleet.advance(Duration.ofSeconds(3));
        });
        awaitDone(callers);
        assertAllComplete(callers);
        assertNoRepeatedEffect();
    }

    /** Guards against calls by an owner that resumes after its peers have sealed its journal. */
    @Test
    public void pausedOwnerIsFencedAfterResume() {
        List<FleetCaller> callers = begin(40, SCRIPT, 0);
        fleet.advance(Duration.ofMillis(150));
        FleetNode owner = fleet.nodes().getFirst();
        String before = owner.node().status().node();
        owner.pause();
        fleet.advance(Duration.ofSeconds(8));
        owner.resume();
        awaitDone(callers);
        assertAllComplete(callers);
        assertNoRepeatedEffect();
        fleet.awaitTrue(
                Duration.ofSeconds(10), () -> !owner.node().status().node().equals(before));
    }

    /** Guards against a successor that repeats a non-idempotent call whose outcome is unknown. */
    @Test
    public void intentWithoutOutcomeIsNeverSentAgain() {
        fleet.tools().values().forEach(tool -> tool.faults(new ToolFaults(false, false, 1.0)));
        FleetCaller caller =
                begin(1, "d <say 2, tool once {\"n\":1} / say 2, end>", 0).getFirst();
        fleet.awaitTrue(TIMEOUT, () -> !effects().isEmpty());
        owner(caller).kill();
        awaitDone(List.of(caller));
        assertAllComplete(List.of(caller));
        assertEquals(effects().values().stream().mapToInt(each -> each).sum(), 1);
    }

    /** Guards against treating a write as failed when it took effect and only the platform's response was lost. */
    @Test
    public void lostAnswersOfThePlatformAreReadBack() {
        fleet.store().faults(new PlatformFaults(false, 0, 0.5, true, 0));
        List<FleetCaller> callers = begin(20, SCRIPT, 0);
        fleet.advance(Duration.ofSeconds(40));
        fleet.store().faults(PlatformFaults.NONE);
        awaitDone(callers);
        assertAllComplete(callers);
        assertNoRepeatedEffect();
    }

    /** Guards against effects of programs that were refused as not run during a platform outage. */
    @Test
    public void programsRefusedDuringOutageHaveNoEffects() {
        List<FleetCaller> early = begin(10, SCRIPT, 0);
        fleet.advance(Duration.ofMillis(100));
        fleet.store().faults(new PlatformFaults(true, 0, 0, false, 0));
        fleet.advance(Duration.ofSeconds(10));
        List<FleetCaller> refused = begin(10, SCRIPT, 100);
        fleet.advance(Duration.ofMinutes(10));
        fleet.store().faults(PlatformFaults.NONE);
        awaitDone(early);
        awaitDone(refused);
        assertAllComplete(early);
        refused.stream().filter(caller -> caller.refusal() != null).forEach(caller -> {
            assertEquals(caller.refusal().kind(), RefusalKind.NOT_RUN);
            assertTrue(effects().keySet().stream()
                    .noneMatch(effect -> effect.startsWith(String.valueOf(caller.id()) + "/")));
        });
        assertNoRepeatedEffect();
    }

    /** Guards against requests that hang on stalled connections between healthy nodes. */
    @Test
    public void silentConnectionsAreReplaced() {
        List<FleetCaller> callers = begin(20, SCRIPT, 0);
        fleet.advance(Duration.ofMillis(60));
        fleet.nodes()
                .forEach(from -> fleet.nodes()
                        .forEach(to -> fleet.network()
                                .stall(from.settings().link(), to.settings().link())));
        awaitDone(callers);
        assertAllComplete(callers);
    }

    /** Guards against a drained process that exits before its programs and callers have moved to other nodes. */
    @Test
    public void drainOfEveryNodeAbortsNoProgram() {
        List<FleetCaller> callers = new ArrayList<>();
        List<FleetNode> first = List.copyOf(fleet.nodes());
        for (FleetNode node : first) {
            callers.addAll(begin(15, SCRIPT, 100 * callers.size()));
            fleet.advance(Duration.ofMillis(100));
            fleet.addNode();
            boolean[] exited = {false};
            node.drain().thenRun(() -> exited[0] = true);
            fleet.awaitTrue(TIMEOUT, () -> exited[0]);
            assertEquals(node.node().programs().size(), 0);
            node.kill();
        }
        awaitDone(callers);
        assertAllComplete(callers);
        assertNoRepeatedEffect();
    }

    /** Guards against peers that keep a dead node alive by relaying outdated reports of its heartbeats. */
    @Test
    public void deadNodeIsNotKeptAliveByPeerReports() {
        FleetNode dead = fleet.nodes().getFirst();
        String name = dead.node().status().node();
        dead.kill();
        fleet.advance(Duration.ofSeconds(8));
        fleet.liveNodes()
                .forEach(node -> assertTrue(node.node().status().peers().stream()
                        .noneMatch(peer -> peer.node().equals(name))));
    }

    /** Guards against engine memory that is never released after the owner of its programs died. */
    @Test
    public void engineMemoryOfEndedProgramsIsReleased() {
        List<FleetCaller> callers = begin(20, SCRIPT, 0);
        fleet.advance(Duration.ofMillis(200));
        FleetNode node = fleet.nodes().getFirst();
        node.kill();
        awaitDone(callers);
        fleet.advance(Duration.ofSeconds(30));
        fleet.engines().values().forEach(engine -> assertEquals(engine.memory(), List.of()));
    }

    /** Guards against turns sent to an engine that is leaving but still listed by the platform. */
    @Test
    public void leavingEngineGetsNoNewTurns() {
        var leaving = fleet.engines().values().iterator().next();
        leaving.faults(new EngineFaults(true, false, 0));
        List<FleetCaller> callers = begin(20, SCRIPT, 0);
        awaitDone(callers);
        assertAllComplete(callers);
        assertEquals(leaving.turnsAccepted(), 0);
    }

    /** Guards against concurrent manifest updates that are both accepted for the same expected generation. */
    @Test
    public void racingManifestsHaveOneWinner() {
        int[] won = {0};
        int[] lost = {0};
        List<FleetNode> live = fleet.liveNodes();
        for (int i = 0; i < live.size(); i++) {
            FleetNode node = live.get(i);
            String text = fleet.manifest(40 + i);
            node.run(() -> node.node().submitManifest(text, 1).whenComplete((version, failure) -> {
                if (failure == null) {
                    won[0]++;
                } else {
                    lost[0]++;
                }
            }));
        }
        fleet.advance(Duration.ofSeconds(5));
        assertEquals(won[0], 1);
        assertEquals(lost[0], 2);
        fleet.liveNodes().forEach(node -> assertEquals(node.node().manifest().generation(), 2));
    }

    /** Guards against a node that can't obtain the manifest when it starts during a platform outage. */
    @Test
    public void nodeThatStartsInAnOutageAsksItsPeers() {
        fleet.store().faults(new PlatformFaults(true, 0, 0, false, 0));
        FleetNode late = fleet.addNode();
        late.run(() -> late.node()
                .setSeedPeers(List.of(fleet.nodes().getFirst().settings().link())));
        fleet.awaitTrue(Duration.ofSeconds(30), () -> late.node().manifest().generation() == 1);
        assertFalse(late.node().isReady(), "an unregistered node must not be ready");
    }

    /** Guards against programs that repeat the same call or exceed their budget without being stopped. */
    @Test
    public void loopsAndEndlessProgramsAreStopped() {
        String same = "say 1, tool often {\"n\":1} / ";
        FleetCaller loop = begin(1, "d <" + same.repeat(30) + "say 1, end>", 0).getFirst();
        FleetCaller endless =
                begin(1, "d <" + "say 2 / ".repeat(200) + "say 1, end>", 50).getFirst();
        awaitDone(List.of(loop, endless));
        assertEquals(loop.answer().end(), "loop");
        assertEquals(endless.answer().end(), "budget_spent");
        fleet.advance(Duration.ofSeconds(20));
        fleet.engines().values().forEach(engine -> assertEquals(engine.memory(), List.of()));
    }

    private List<FleetCaller> begin(int count, String prompt, int firstKey) {
        return IntStream.range(0, count)
                .mapToObj(i -> {
                    FleetCaller caller = new FleetCaller(fleet, "k" + (firstKey + i), prompt, 0);
                    caller.begin();
                    return caller;
                })
                .toList();
    }

    private void awaitDone(List<FleetCaller> callers) {
        fleet.awaitTrue(Duration.ofMinutes(10), () -> callers.stream().allMatch(FleetCaller::isDone));
    }

    private FleetNode owner(FleetCaller caller) {
        FleetNode owner = fleet.liveNodes().stream()
                .filter(node -> node.node().programs().containsKey(caller.id()))
                .findFirst()
                .orElse(null);
        assertNotNull(owner);
        return owner;
    }

    private static void assertAllComplete(List<FleetCaller> callers) {
        callers.forEach(caller -> assertEquals(caller.describeFault(), "", String.valueOf(caller.id())));
    }

    private void assertNoRepeatedEffect() {
        effects().forEach((effect, count) -> assertTrue(count == 1 || !effect.endsWith(" once"), effect + " " + count));
    }

    private Map<String, Integer> effects() {
        Map<String, Integer> all = new HashMap<>();
        fleet.tools()
                .values()
                .forEach(tool -> tool.effects().forEach((effect, count) -> {
                    if (effect.endsWith(" once")) {
                        all.merge(effect, count, Integer::sum);
                    }
                }));
        return all;
    }
}
