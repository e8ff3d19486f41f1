package org.parsleydrift.placement.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.parsleydrift.registry.Runner;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Grants of slots by a coordinator, and the failures of its messages, of nodes and of itself. */
public class SlotCoordinatorTest {
    private static final int SLOTS = 2;

    private long nowMillis;
    private SlotCoordinator coordinator;
    private Node a;
    private Node b;

    /** A node whose requests wait until it has a grant, and then run until they are ended. */
    private final class Node {
        private final String name;
        private final long session;
        private final SlotLease lease;
        private final Map<String, SlotRequest> waiting = new LinkedHashMap<>();
        private final Map<String, Integer> open = new HashMap<>();

        private Node(String name, long session) {
            this.name = name;
            this.session = session;
            this.lease = new SlotLease(SlotCoordinatorTest.this::nanos, session);
            lease.setCoordinator(Optional.of("c"));
        }

        private void add(String request, int rank, boolean started, long waited) {
            waiting.put(request, new SlotRequest(request, rank, started, waited, false, 0, Map.of()));
        }

        private SlotReport report() {
            return new SlotReport(
                    name, session, lease.nextSequence(), open, lease.held(), List.copyOf(waiting.values()));
        }

        private void receive(List<SlotGrants> messages) {
            messages.stream()
                    .filter(each -> each.node().equals(name))
                    .forEach(each -> lease.receive(each, waiting.keySet()));
        }

        private void useGrants() {
            List.copyOf(waiting.keySet())
                    .forEach(request -> lease.use(request).ifPresent(runner -> {
                        waiting.remove(request);
                        open.merge(runner, 1, Integer::sum);
                    }));
        }

        private int openCount() {
            return open.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    private long nanos() {
        return nowMillis * 1_000_000;
    }

    private SlotCoordinator started(String name) {
        SlotCoordinator created = new SlotCoordinator(name, this::nanos, new Random(1));
        created.setRunners(List.of(new Runner("r", "engines", "10.0.0.1:80", "z", SLOTS, false)));
        return created;
    }

    private static int grantCount(List<SlotGrants> messages) {
        return messages.stream().mapToInt(each -> each.grants().size()).sum();
    }

    private void exchange() {
        coordinator.receive(a.report());
        coordinator.receive(b.report());
        List<SlotGrants> messages = coordinator.decide();
        a.receive(messages);
        b.receive(messages);
        a.useGrants();
        b.useGrants();
    }

    @BeforeMethod
    public void begin() {
        nowMillis = 5_000;
        coordinator = started("c");
        a = new Node("a", 1);
        b = new Node("b", 1);
        nowMillis += SlotCoordinator.START_DELAY.toMillis();
    }

    /** Guards against nodes that each take the last slot, or that serve a request while a better one waits elsewhere. */
    @Test
    public void slotsGoToTheBestRequestsOfTheFleet() {
        a.add("a1", 2, true, 400);
        a.add("a2", 0, false, 10);
        b.add("b1", 0, true, 5);
        b.add("b2", 2, true, 900);
        exchange();
        assertEquals(List.copyOf(a.waiting.keySet()), List.of("a1"));
        assertEquals(List.copyOf(b.waiting.keySet()), List.of("b2"));
        exchange();
        assertEquals(a.openCount() + b.openCount(), SLOTS);
        b.open.clear();
        exchange();
        assertEquals(List.copyOf(a.waiting.keySet()), List.of("a1"));
        assertTrue(b.waiting.isEmpty());
    }

    /** Guards against a slot that stays blocked, or a request that waits for ever, after a lost grant. */
    @Test
    public void lostGrantIsSentAgain() {
        a.add("a1", 0, true, 0);
        coordinator.receive(a.report());
        assertEquals(grantCount(coordinator.decide()), 1);
        nowMillis += 20;
        coordinator.receive(a.report());
        a.receive(coordinator.decide());
        a.useGrants();
        assertEquals(a.openCount(), 1);
    }

    /** Guards against a granted slot that is never free again after its request was given up. */
    @Test
    public void unusedGrantIsReleased() {
        a.add("a1", 0, true, 0);
        a.add("a2", 0, true, 0);
        coordinator.receive(a.report());
        assertEquals(grantCount(coordinator.decide()), 2);
        b.add("b1", 2, true, 0);
        coordinator.receive(b.report());
        assertEquals(grantCount(coordinator.decide()), 2);
        a.waiting.remove("a1");
        coordinator.receive(a.report());
        b.receive(coordinator.decide());
        b.useGrants();
        assertEquals(b.openCount(), 1);
    }

    /** Guards against a repeated or overtaken message that frees or grants a slot twice. */
    @Test
    public void repeatedAndOlderMessagesChangeNothing() {
        IntStream.range(0, 4).forEach(i -> a.add("a" + i, 0, true, 0));
        SlotReport first = a.report();
        coordinator.receive(first);
        List<SlotGrants> messages = coordinator.decide();
        a.receive(messages);
        a.useGrants();
        a.receive(messages);
        assertTrue(a.lease.held().isEmpty());
        coordinator.receive(a.report());
        coordinator.receive(first);
        a.receive(coordinator.decide());
        a.useGrants();
        a.receive(messages);
        a.useGrants();
        assertEquals(a.openCount(), SLOTS);
    }

    /** Guards against a node that uses a grant after the coordinator has granted the slot to another one. */
    @Test
    public void lateGrantIsNotUsed() {
        IntStream.range(0, SLOTS).forEach(i -> a.add("a" + i, 0, true, 0));
        coordinator.receive(a.report());
        List<SlotGrants> late = coordinator.decide();
        nowMillis += SlotCoordinator.GRANT_VALIDITY.toMillis();
        b.add("b1", 0, true, 900);
        coordinator.receive(b.report());
        b.receive(coordinator.decide());
        b.useGrants();
        assertEquals(b.openCount(), 1);
        a.receive(late);
        a.useGrants();
        assertEquals(a.openCount(), 0);
    }

    /** Guards against a restarted coordinator that grants slots which are in use, before nodes have reported them. */
    @Test
    public void restartedCoordinatorWaitsForTheReports() {
        IntStream.range(0, 4).forEach(i -> a.add("a" + i, 0, true, 0));
        exchange();
        coordinator = started("c");
        b.add("b1", 0, true, 0);
        coordinator.receive(b.report());
        assertTrue(coordinator.decide().isEmpty());
        nowMillis += SlotCoordinator.START_DELAY.toMillis();
        assertTrue(b.lease.isFallback());
        exchange();
        assertEquals(a.openCount() + b.openCount(), SLOTS);
        assertFalse(b.lease.isFallback());
    }

    /** Guards against two coordinators, while nodes disagree, that both grant all slots again and again. */
    @Test
    public void secondCoordinatorCountsTheGrantsOfTheFirst() {
        SlotCoordinator other = started("d");
        nowMillis += SlotCoordinator.START_DELAY.toMillis();
        b.lease.setCoordinator(Optional.of("d"));
        IntStream.range(0, 4).forEach(i -> a.add("a" + i, 0, true, 0));
        IntStream.range(0, 4).forEach(i -> b.add("b" + i, 0, true, 0));
        coordinator.receive(a.report());
        List<SlotGrants> messages = coordinator.decide();
        assertEquals(grantCount(messages), SLOTS);
        a.receive(messages);
        other.receive(a.report());
        other.receive(b.report());
        List<SlotGrants> others = other.decide();
        assertEquals(grantCount(others), 0);
        b.receive(messages);
        assertTrue(b.lease.held().isEmpty());
    }

    /** Guards against requests that wait for a coordinator that is dead or paused, and against its late grants. */
    @Test
    public void nodeDecidesItselfWithoutTheCoordinator() {
        a.add("a1", 0, true, 0);
        assertTrue(a.lease.isFallback());
        coordinator.receive(a.report());
        a.receive(coordinator.decide());
        assertFalse(a.lease.isFallback());
        a.useGrants();
        a.add("a2", 0, true, 0);
        coordinator.receive(a.report());
        List<SlotGrants> paused = coordinator.decide();
        nowMillis += SlotLease.FALLBACK_DELAY.toMillis() + 1;
        assertTrue(a.lease.isFallback());
        a.receive(paused);
        assertTrue(a.lease.isFallback());
        assertTrue(a.lease.use("a2").isEmpty());
    }

    /** Guards against slots that stay occupied by a node that has restarted or is silent. */
    @Test
    public void requestsOfLostNodesAreNotCounted() {
        IntStream.range(0, 4).forEach(i -> a.add("a" + i, 0, true, 0));
        exchange();
        SlotReport former = a.report();
        a = new Node("a", 2);
        b.add("b1", 0, true, 0);
        exchange();
        assertEquals(b.openCount(), 1);
        coordinator.receive(former);
        a.add("a9", 0, true, 0);
        exchange();
        assertEquals(a.openCount(), 1);
        nowMillis += SlotCoordinator.REPORT_TIMEOUT.toMillis() + 1;
        IntStream.range(2, 9).forEach(i -> b.add("b" + i, 0, true, 0));
        coordinator.receive(b.report());
        b.receive(coordinator.decide());
        b.useGrants();
        assertEquals(b.openCount(), SLOTS);
    }

    /** Guards against groups that all move when one node leaves. */
    @Test
    public void coordinatorChangesOnlyWithItsNode() {
        List<String> nodes = IntStream.range(0, 20).mapToObj(i -> "n" + i).toList();
        for (String group : List.of("g1", "g2", "g3", "g4")) {
            String chosen = SlotCoordinator.choose(group, nodes, List.of("x")).orElseThrow();
            nodes.stream().filter(each -> !each.equals(chosen)).forEach(gone -> {
                List<String> rest =
                        nodes.stream().filter(each -> !each.equals(gone)).toList();
                assertEquals(SlotCoordinator.choose(group, rest, List.of()), Optional.of(chosen));
            });
        }
        assertEquals(SlotCoordinator.choose("g1", List.of(), List.of("x")), Optional.of("x"));
        assertEquals(SlotCoordinator.choose("g1", List.of(), List.of()), Optional.empty());
    }
}
