package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleydrift.roles.MeshPlan.Neighbour;
import org.testng.annotations.Test;

/** Receivers of status frames. Nodes are named a0 to a9 and b0 to b9, in zones a and b. */
public class MeshPlanTest {
    private static NodeIdentity node(String name) {
        return new NodeIdentity(name, name.substring(0, 1), name + ":80", name);
    }

    private static List<Neighbour> others(String self, Predicate<String> alive, String... direct) {
        return Stream.of("a", "b")
                .flatMap(zone -> IntStream.range(0, 10).mapToObj(number -> zone + number))
                .filter(name -> !name.equals(self))
                .map(name -> new Neighbour(
                        node(name), alive.test(name), Arrays.asList(direct).contains(name)))
                .toList();
    }

    private static List<String> names(List<NodeIdentity> nodes) {
        return nodes.stream().map(NodeIdentity::name).toList();
    }

    @Test
    public void smallFleetIsAFullMesh() {
        List<Neighbour> peers = others("a3", name -> true).subList(0, MeshPlan.MAX_FULL_MESH_PEERS);
        MeshPlan plan = MeshPlan.of(node("a3"), peers, false, false);
        assertEquals(plan.stateReceivers().size(), MeshPlan.MAX_FULL_MESH_PEERS);
        assertTrue(plan.summaryReceivers().isEmpty()
                && plan.allSummariesReceivers().isEmpty());
    }

    @Test
    public void memberSendsToItsHubOnly() {
        MeshPlan plan = MeshPlan.of(node("a3"), others("a3", name -> true, "a0"), false, false);
        assertEquals(names(plan.stateReceivers()), List.of("a0"));
        assertTrue(plan.summaryReceivers().isEmpty()
                && plan.allSummariesReceivers().isEmpty());
    }

    @Test
    public void firstNodeOfAZoneIsItsHub() {
        MeshPlan plan = MeshPlan.of(node("a0"), others("a0", name -> true, "a1", "a2", "b0"), false, false);
        assertTrue(plan.stateReceivers().isEmpty());
        assertEquals(names(plan.summaryReceivers()), List.of("b0", "b1"));
        assertEquals(plan.allSummariesReceivers().size(), 9);
    }

    /** Guards against losing a node's state while its hub has failed and others still forward the hub's last state. */
    @Test
    public void failedHubAndItsSuccessorBothReceiveStates() {
        MeshPlan plan = MeshPlan.of(node("a3"), others("a3", name -> true, "a1", "a2"), false, false);
        assertEquals(names(plan.stateReceivers()), List.of("a0", "a1"));
        MeshPlan later = MeshPlan.of(node("a3"), others("a3", name -> !name.equals("a0"), "a1", "a2"), false, false);
        assertEquals(names(later.stateReceivers()), List.of("a1"));
    }

    /** A node that hears no node before itself, or that others treat as their hub, acts as a hub. */
    @Test
    public void nodeWithoutAHubActsAsOne() {
        MeshPlan alone = MeshPlan.of(node("a3"), others("a3", name -> false), false, false);
        assertTrue(alone.stateReceivers().isEmpty()
                && alone.allSummariesReceivers().isEmpty());
        assertEquals(names(alone.summaryReceivers()), List.of("b0", "b1"));
        MeshPlan asked = MeshPlan.of(node("a3"), others("a3", name -> true, "a0"), true, false);
        assertEquals(names(asked.stateReceivers()), List.of("a0"));
        assertEquals(asked.allSummariesReceivers().size(), 9);
    }

    /** Guards against never reaching a restarted node that knows no peers. */
    @Test
    public void timedOutNodesAreProbed() {
        MeshPlan plan = MeshPlan.of(node("a0"), others("a0", name -> !name.equals("a5"), "a1"), false, false);
        assertEquals(plan.allSummariesReceivers().size(), 8);
        MeshPlan probing = MeshPlan.of(node("a0"), others("a0", name -> !name.equals("a5"), "a1"), false, true);
        assertEquals(probing.allSummariesReceivers().size(), 9);
    }
}
